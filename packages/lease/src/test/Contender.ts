import { SimulatedLink, PausableClock } from '@apricotrill/standins';
import type { ManualClock, Milliseconds } from '@apricotrill/utils';
import { LeaseManager } from '../lib/LeaseManager/LeaseManager.js';
import type { LeaseStore } from '../lib/LeaseManager/LeaseManager.js';
import type { LeaseOptions } from '../lib/leaseOptions.js';

export const LEASE = 'duties';

/** An act of a daemon that believed to hold the lease. */
export interface Act {
  daemon: number;
  fencingNumber: number;
  at: Milliseconds;
}

/** What the contenders share. */
export interface Surroundings {
  clock: ManualClock;
  store: LeaseStore;
  options: LeaseOptions;
  getDelay: () => Milliseconds;
  onAct: (act: Act) => void;
}

/** Longer than a lease waits: giving up a silent call is the lease's own task. */
const LINK_TIMEOUT: Milliseconds = 60_000;

/** One daemon that contends for the lease and acts as often as it may. */
export class Contender {
  readonly clock: PausableClock;

  isCutOff = false;

  /** Its time of day less the true one. */
  dayShift: Milliseconds = 0;

  /** How long its machine stood still in all. */
  stoodStill: Milliseconds = 0;

  private readonly link: SimulatedLink;

  private lease: LeaseManager;

  constructor(
    private readonly index: number,
    private readonly world: Surroundings,
  ) {
    this.clock = new PausableClock(world.clock);
    this.link = new SimulatedLink(world.clock, this.clock, () => world.getDelay());
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
      this.world.onAct({ daemon: this.index, fencingNumber, at: this.world.clock.now() });
    }
  }

  /** Tells the lease that a receiver refused its number. */
  refuse(): void {
    const fencingNumber = this.lease.getFencingNumber();
    if (fencingNumber !== undefined) {
      this.lease.reportFenced(fencingNumber + 1);
    }
  }

  dispose(): void {
    this.lease.dispose();
  }

  private createLease(): LeaseManager {
    const { world, index } = this;
    const steady = {
      // A machine that is suspended does not count that time.
      now: () => this.clock.now() - this.stoodStill,
      setTimer: (delay: Milliseconds, callback: () => void) => this.clock.setTimer(delay, callback),
    };
    return new LeaseManager({
      self: `daemon-${index}`,
      clock: steady,
      store: this.createStore(),
      name: LEASE,
      options: world.options,
      getRank: () => index,
      getTimeOfDay: () => world.clock.now() + this.dayShift,
    });
  }

  private createStore(): LeaseStore {
    const { store } = this.world;
    const call = <Value>(effect: () => Promise<Value>) =>
      this.link
        .call(LINK_TIMEOUT, () => {
          if (this.isCutOff) {
            throw new Error('no answer');
          }
          return effect();
        })
        .then((value) => value);
    return {
      get: (key) => call(() => store.get(key)),
      put: (key, value, expected) => call(() => store.put(key, value, expected)),
    };
  }
}
