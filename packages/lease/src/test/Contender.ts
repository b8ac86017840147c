import { SimulatedLink, PausableClock } from '@apricotrill/standins';
import type { ManualClock, Milliseconds } from '@apricotrill/utils';
import { LeaseManager } from '../lib/LeaseManager/LeaseManager.js';
import type { LeaseStore } from '../lib/LeaseManager/LeaseManager.js';
import type { LeaseOptions } from '../lib/leaseOptions.js';

export const LEASE_NAME = 'duties';

/** An action of a daemon that believed it held the lease. */
export interface HolderAction {
  daemon: number;
  fencingNumber: number;
  at: Milliseconds;
}

/** The environment that all contenders share. */
export interface LeaseEnvironment {
  clock: ManualClock;
  store: LeaseStore;
  options: LeaseOptions;
  getDelay: () => Milliseconds;
  onAction: (action: HolderAction) => void;
}

/**
 * Longer than the lease's own call timeout, so that the lease has to abandon unanswered calls
 * itself.
 */
const LINK_TIMEOUT: Milliseconds = 60_000;

/** A daemon that contends for the lease and acts whenever it believes it holds it. */
export class Contender {
  readonly clock: PausableClock;

  isPartitioned = false;

  /** Difference between its wall clock and the true time. */
  wallClockShift: Milliseconds = 0;

  /** Total time for which its machine was suspended. */
  suspendedDuration: Milliseconds = 0;

  private readonly link: SimulatedLink;

  private lease: LeaseManager;

  constructor(
    private readonly index: number,
    private readonly environment: LeaseEnvironment,
  ) {
    this.clock = new PausableClock(environment.clock);
    this.link = new SimulatedLink(environment.clock, this.clock, () => environment.getDelay());
    this.lease = this.createLease();
  }

  restart(): void {
    this.lease.dispose();
    this.clock.resume();
    this.lease = this.createLease();
  }

  release(): void {
    this.lease.release().catch(() => undefined);
  }

  act(): void {
    const fencingNumber = this.lease.getFencingNumber();
    if (fencingNumber !== undefined) {
      this.environment.onAction({
        daemon: this.index,
        fencingNumber,
        at: this.environment.clock.now(),
      });
    }
  }

  /** Reports to the lease that a receiver rejected its fencing number. */
  rejectFencingNumber(): void {
    const fencingNumber = this.lease.getFencingNumber();
    if (fencingNumber !== undefined) {
      this.lease.reportFenced(fencingNumber + 1);
    }
  }

  dispose(): void {
    this.lease.dispose();
  }

  private createLease(): LeaseManager {
    const { environment, index } = this;
    const monotonicClock = {
      // The monotonic clock of a machine does not advance while the machine is suspended.
      now: () => this.clock.now() - this.suspendedDuration,
      setTimer: (delay: Milliseconds, callback: () => void) => this.clock.setTimer(delay, callback),
    };
    return new LeaseManager({
      self: `daemon-${index}`,
      clock: monotonicClock,
      store: this.createStore(),
      name: LEASE_NAME,
      options: environment.options,
      getRank: () => index,
      getTimeOfDay: () => environment.clock.now() + this.wallClockShift,
      onFault: (error) => {
        throw error;
      },
    });
  }

  private createStore(): LeaseStore {
    const { store } = this.environment;
    const call = <Value>(request: () => Promise<Value>) =>
      this.link
        .call(LINK_TIMEOUT, () => {
          if (this.isPartitioned) {
            throw new Error('no response');
          }
          return request();
        })
        .then((value) => value);
    return {
      get: (key) => call(() => store.get(key)),
      put: (key, value, expected) => call(() => store.put(key, value, expected)),
    };
  }
}
