import { advanceClock } from '@apricotrill/standins';
import { ObjectStore } from '@apricotrill/store';
import { ManualClock } from '@apricotrill/utils';
import type { Milliseconds, Random } from '@apricotrill/utils';
import type { LeaseStore } from '../lib/LeaseManager/LeaseManager.js';
import type { LeaseOptions } from '../lib/leaseOptions.js';
import { Contender, LEASE_NAME } from './Contender.js';
import type { HolderAction } from './Contender.js';

const KEY = `leases/${LEASE_NAME}`;

/** Interval at which each daemon acts while it holds the lease. */
const ACTION_INTERVAL: Milliseconds = 100;

/**
 * Simulates daemons that contend for one lease under faults, and records their actions as holder.
 */
export class LeaseSimulation {
  readonly clock = new ManualClock(1_000_000);

  readonly objects = new ObjectStore(this.clock);

  readonly contenders: Contender[];

  readonly actions: HolderAction[] = [];

  /** Whether the store fails all calls. */
  isStoreDown = false;

  /** Number of coming writes that take effect but whose responses are lost. */
  lostResponses = 0;

  constructor(
    private readonly random: Random,
    options: LeaseOptions,
    candidateCount: number,
  ) {
    const environment = {
      clock: this.clock,
      store: this.createStore(),
      options,
      getDelay: () => this.getDelay(),
      onAction: (action: HolderAction) => this.actions.push(action),
    };
    this.contenders = Array.from(
      { length: candidateCount },
      (_, index) => new Contender(index, environment),
    );
  }

  /** Deletes the lease object, as an operator might do by hand. */
  deleteObject(): void {
    const object = this.objects.get(KEY);
    if (object !== undefined) {
      this.objects.delete(KEY, object.version);
    }
  }

  /** Advances time; every running daemon acts while it holds the lease. */
  async run(duration: Milliseconds): Promise<void> {
    const end = this.clock.now() + duration;
    while (this.clock.now() < end) {
      // eslint-disable-next-line no-await-in-loop
      await advanceClock(this.clock, Math.min(ACTION_INTERVAL, end - this.clock.now()));
      this.contenders.forEach((contender) => contender.clock.run(() => contender.act()));
    }
  }

  dispose(): void {
    this.contenders.forEach((contender) => contender.dispose());
  }

  private getDelay(): Milliseconds {
    const percentile = this.random.integer(100);
    if (percentile < 96) {
      return 1 + this.random.integer(10);
    }
    return percentile < 99 ? 500 + this.random.integer(2_000) : 3_000 + this.random.integer(9_000);
  }

  private createStore(): LeaseStore {
    const respond = <Value>(action: () => Value) => {
      if (this.isStoreDown) {
        throw new Error('no response');
      }
      return action();
    };
    return {
      get: async (key) => respond(() => this.objects.get(key)),
      put: async (key, value, expected) =>
        respond(() => {
          const result = this.objects.put(key, value, expected);
          if (result.kind === 'accepted' && this.lostResponses > 0) {
            this.lostResponses -= 1;
            throw new Error('response lost');
          }
          return result;
        }),
    };
  }
}
