import { randomUUID } from 'node:crypto';
import { exhaustiveSwitchError } from '@apricotrill/utils';
import type { PlatformStore } from '@apricotrill/store';
import type { Clock, Milliseconds, Timer } from '@apricotrill/utils';
import { Lease } from '../Lease/Lease.js';
import type { LeaseEffect, LeaseMessage } from '../Lease/leaseMessages.js';
import { defaultLeaseOptions } from '../leaseOptions.js';
import type { LeaseOptions } from '../leaseOptions.js';

/**
 * The store operations that a lease needs.
 *
 * @public
 */
export type LeaseStore = Pick<PlatformStore, 'get' | 'put'>;

/**
 * Constructor arguments of a `LeaseManager`.
 *
 * @public
 */
export interface LeaseSettings {
  /** The id of this daemon. */
  self: string;
  clock: Clock;
  store: LeaseStore;
  /** Name of the lease; the object in the store is `leases/<name>`. */
  name: string;
  options?: LeaseOptions;
  /** Distinguishes this process from an earlier one with the same id; random if absent. */
  incarnation?: string;
  /** This daemon's rank among the lease's candidates; 0 is preferred and the default. */
  getRank?: () => number;
  /**
   * The wall clock. While a machine is suspended, it advances and `clock` does not. When the two
   * diverge, this daemon requests a new grant before it acts.
   */
  getTimeOfDay?: () => Milliseconds;
  /** Called with an unexpected error, also of a listener, after which the manager goes on. */
  onFault: (error: unknown) => void;
}

/**
 * Called when this daemon gains or loses a lease, or holds it under a new fencing number.
 *
 * @param fencingNumber - undefined if the lease was lost
 * @public
 */
export type LeaseListener = (fencingNumber: number | undefined) => void;

/**
 * Contends for one lease in the platform's store and keeps it while the store responds. During an
 * outage of the store a held lease expires: no more orders are sent, and running work continues.
 *
 * `isHeld()` reads the clock, so it is correct even in a process that was paused and whose timers
 * have not run yet.
 *
 * @example
 * ```ts
 * const lease = new LeaseManager({ self: 'daemon-1', clock, store, name: 'placement-chat', onFault });
 * lease.onChange((fencingNumber) => log('lease %o', fencingNumber));
 * ```
 * @public
 */
export class LeaseManager {
  private readonly lease: Lease;

  private readonly options: LeaseOptions;

  private readonly listeners = new Set<LeaseListener>();

  private readonly releaseWaiters: (() => void)[] = [];

  private wakeTimer: Timer | undefined;

  private lastFencingNumber: number | undefined;

  private isDisposed = false;

  /** Last observed difference between the wall clock and `clock`. */
  private wallClockOffset: Milliseconds | undefined;

  constructor(private readonly settings: LeaseSettings) {
    this.options = settings.options ?? defaultLeaseOptions;
    const incarnation = settings.incarnation ?? randomUUID();
    this.lease = new Lease({ self: settings.self, incarnation, options: this.options });
    this.tick();
  }

  /** Whether this daemon may act as the holder at this moment. */
  isHeld(): boolean {
    return this.getFencingNumber() !== undefined;
  }

  /** The fencing number for orders; undefined if the lease is not held. */
  getFencingNumber(): number | undefined {
    this.detectSuspension();
    return this.isDisposed ? undefined : this.lease.getFencingNumber(this.settings.clock.now());
  }

  /**
   * Adds a listener for changes of the lease.
   *
   * @returns a function that removes the listener
   */
  onChange(listener: LeaseListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Applies a change of the rank at once, rather than when this daemon next considers the lease. */
  updateRank(): void {
    this.tick();
  }

  /** Reports that a receiver has seen this fencing number. */
  reportFenced(highest: number): void {
    this.dispatch({ kind: 'fenced', highest });
  }

  /**
   * Stops acting as the holder at once and releases the lease in the store, so that the next holder
   * need not wait for it to expire. After one lease duration this daemon contends again.
   *
   * @returns a promise that resolves when the store has confirmed the release, or after twice the
   *   call timeout; without a confirmation the lease expires by itself
   */
  async release(): Promise<void> {
    this.dispatch({ kind: 'release' });
    if (!this.lease.isReleasing()) {
      return;
    }
    await new Promise<void>((resolve) => {
      const timer = this.settings.clock.setTimer(2 * this.options.callTimeout, resolve);
      this.releaseWaiters.push(() => {
        timer.cancel();
        resolve();
      });
    });
  }

  /** Stops contending. A lease that is held and not released expires by itself. */
  dispose(): void {
    this.isDisposed = true;
    this.wakeTimer?.cancel();
    this.listeners.clear();
    this.resolveReleases();
  }

  private detectSuspension(): void {
    const { clock, getTimeOfDay } = this.settings;
    if (getTimeOfDay === undefined) {
      return;
    }
    const offset = getTimeOfDay() - clock.now();
    const shift = Math.abs(offset - (this.wallClockOffset ?? offset));
    this.wallClockOffset = offset;
    if (shift > this.options.safetyMargin / 2) {
      this.dispatch({ kind: 'suspended' });
    }
  }

  private tick(): void {
    this.attempt(() => this.handleMessage({ kind: 'tick', rank: this.settings.getRank?.() ?? 0 }));
  }

  private dispatch(message: LeaseMessage): void {
    this.attempt(() => this.handleMessage(message));
  }

  private handleMessage(message: LeaseMessage): void {
    if (this.isDisposed) {
      return;
    }
    const effects = this.lease.handle(message, this.settings.clock.now());
    effects.forEach((effect) => this.run(effect));
    this.notify();
    if (!this.lease.isReleasing()) {
      this.resolveReleases();
    }
  }

  /** Performs an action. After an error, another tick follows in any case: the lease is idle without one. */
  private attempt(action: () => void): void {
    try {
      action();
    } catch (error) {
      this.settings.onFault(error);
      if (this.wakeTimer === undefined && !this.isDisposed) {
        this.wakeAt(this.settings.clock.now() + this.options.retryDelay);
      }
    }
  }

  private run(effect: LeaseEffect): void {
    const { store } = this.settings;
    const key = `leases/${this.settings.name}`;
    switch (effect.kind) {
      case 'read':
        this.call(effect.attempt, async () => {
          const object = await store.get(key);
          return { kind: 'read-completed', attempt: effect.attempt, object };
        });
        return;
      case 'write':
        this.call(effect.attempt, async () => {
          const result = await store.put(key, effect.value, effect.expectedVersion);
          return { kind: 'write-completed', attempt: effect.attempt, result };
        });
        return;
      case 'wake':
        this.wakeAt(effect.at);
        return;
      default:
        throw exhaustiveSwitchError(effect);
    }
  }

  /**
   * Makes a call and abandons it after the timeout: the lease has only one call in flight, and an
   * unresponsive connection would block it forever. The state machine ignores a late response.
   */
  private call(attempt: number, send: () => Promise<LeaseMessage>): void {
    const handleFailure = () => this.dispatch({ kind: 'call-failed', attempt });
    const timer = this.settings.clock.setTimer(this.options.callTimeout, handleFailure);
    send()
      .then((message) => this.dispatch(message), handleFailure)
      .finally(() => timer.cancel());
  }

  private wakeAt(at: Milliseconds): void {
    this.wakeTimer?.cancel();
    const delay = at - this.settings.clock.now();
    this.wakeTimer = this.settings.clock.setTimer(delay, () => {
      this.wakeTimer = undefined;
      this.tick();
    });
  }

  private notify(): void {
    const fencingNumber = this.getFencingNumber();
    if (fencingNumber === this.lastFencingNumber) {
      return;
    }
    this.lastFencingNumber = fencingNumber;
    this.listeners.forEach((listener) => this.attempt(() => listener(fencingNumber)));
  }

  private resolveReleases(): void {
    this.releaseWaiters.splice(0).forEach((resolve) => resolve());
  }
}
