import { advanceClock } from '@apricotrill/standins';
import { ObjectStore } from '@apricotrill/store';
import { ManualClock } from '@apricotrill/utils';
import type { Milliseconds, Random } from '@apricotrill/utils';
import type { LeaseStore } from '../lib/LeaseManager/LeaseManager.js';
import type { LeaseOptions } from '../lib/leaseOptions.js';
import { Contender, LEASE } from './Contender.js';
import type { Act } from './Contender.js';

const KEY = `leases/${LEASE}`;

/** How often each daemon acts if it may. */
const ACT_PERIOD: Milliseconds = 100;

/** Daemons that contend for one lease, with faults, and everything that they did as its holder. */
export class LeaseWorld {
  readonly clock = new ManualClock(1_000_000);

  readonly objects = new ObjectStore(this.clock);

  readonly contenders: Contender[];

  readonly acts: Act[] = [];

  /** Whether the store gives no answer. */
  isStoreDown = false;

  /** So many writes take effect and are not confirmed. */
  lostAnswers = 0;

  constructor(
    private readonly random: Random,
    options: LeaseOptions,
    candidates: number,
  ) {
    const surroundings = {
      clock: this.clock,
      store: this.createStore(),
      options,
      getDelay: () => this.getDelay(),
      onAct: (act: Act) => this.acts.push(act),
    };
    this.contenders = Array.from(
      { length: candidates },
      (_, index) => new Contender(index, surroundings),
    );
  }

  /** Deletes the lease's object, as an operator may by hand. */
  deleteObject(): void {
    const object = this.objects.get(KEY);
    if (object !== undefined) {
      this.objects.delete(KEY, object.version);
    }
  }

  /** Lets time pass; every daemon that is awake acts as often as it may. */
  async run(span: Milliseconds): Promise<void> {
    const end = this.clock.now() + span;
    while (this.clock.now() < end) {
      // eslint-disable-next-line no-await-in-loop
      await advanceClock(this.clock, Math.min(ACT_PERIOD, end - this.clock.now()));
      this.contenders.forEach((contender) => contender.clock.run(() => contender.act()));
    }
  }

  dispose(): void {
    this.contenders.forEach((contender) => contender.dispose());
  }

  private getDelay(): Milliseconds {
    const draw = this.random.integer(100);
    if (draw < 96) {
      return 1 + this.random.integer(10);
    }
    return draw < 99 ? 500 + this.random.integer(2_000) : 3_000 + this.random.integer(9_000);
  }

  private createStore(): LeaseStore {
    const answer = <Value>(effect: () => Value) => {
      if (this.isStoreDown) {
        throw new Error('no answer');
      }
      return effect();
    };
    return {
      get: async (key) => answer(() => this.objects.get(key)),
      put: async (key, value, expected) =>
        answer(() => {
          const outcome = this.objects.put(key, value, expected);
          if (outcome.kind === 'accepted' && this.lostAnswers > 0) {
            this.lostAnswers -= 1;
            throw new Error('the answer is lost');
          }
          return outcome;
        }),
    };
  }
}
