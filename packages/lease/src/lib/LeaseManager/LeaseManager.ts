import { randomUUID } from 'node:crypto';
import { exhaustiveSwitchError } from '@apricotrill/utils';
import type { PlatformStore } from '@apricotrill/store';
import type { Clock, Milliseconds, Timer } from '@apricotrill/utils';
import { Lease } from '../Lease/Lease.js';
import type { LeaseEffect, LeaseMessage } from '../Lease/leaseMessages.js';
import { defaultLeaseOptions } from '../leaseOptions.js';
import type { LeaseOptions } from '../leaseOptions.js';

/**
 * The calls to the store that a lease needs.
 *
 * @public
 */
export type LeaseStore = Pick<PlatformStore, 'get' | 'put'>;

/**
 * What a lease needs around it.
 *
 * @public
 */
export interface LeaseSettings {
  /** This daemon's id. */
  self: string;
  clock: Clock;
  store: LeaseStore;
  /** The object is `leases/<name>`. */
  name: string;
  options?: LeaseOptions;
  /** Tells this process from an earlier one of the same id; random when absent. */
  incarnation?: string;
  /** This daemon's place among the lease's candidates, 0 the preferred; 0 when absent. */
  getRank?: () => number;
  /**
   * The time of day. A machine that is suspended stands still by `clock` and not by this; when the
   * two part, the lease is asked for anew before this daemon acts.
   */
  getTimeOfDay?: () => Milliseconds;
}

/**
 * Told when this daemon gains or loses a lease, or goes on under a new number.
 *
 * @param fencingNumber - undefined when the lease was lost
 * @public
 */
export type LeaseListener = (fencingNumber: number | undefined) => void;

/**
 * Contends for one lease at the platform's store and keeps it while the store answers. In an outage
 * a held lease runs out: orders stop, and whatever runs goes on.
 *
 * `isHeld()` reads the clock, so it is right also in a process that was frozen and whose timers
 * have not run yet.
 *
 * @example
 * ```ts
 * const lease = new LeaseManager({ self: 'daemon-1', clock, store, name: 'placement-chat' });
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

  private lastNumber: number | undefined;

  private disposed = false;

  /** The time of day less the clock's, when last looked at. */
  private dayOffset: Milliseconds | undefined;

  constructor(private readonly settings: LeaseSettings) {
    this.options = settings.options ?? defaultLeaseOptions;
    const incarnation = settings.incarnation ?? randomUUID();
    this.lease = new Lease({ self: settings.self, incarnation, options: this.options });
    this.tick();
  }

  /** Whether this daemon may act as the holder at this very moment. */
  isHeld(): boolean {
    return this.getFencingNumber() !== undefined;
  }

  /** The number under which to give orders; undefined when the lease isn't held. */
  getFencingNumber(): number | undefined {
    this.detectSuspension();
    return this.disposed ? undefined : this.lease.getFencingNumber(this.settings.clock.now());
  }

  /**
   * Listens for gains and losses.
   *
   * @returns a function that stops listening
   */
  onChange(listener: LeaseListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Tells the lease that an engine has seen this fencing number. */
  reportFenced(highest: number): void {
    this.dispatch({ kind: 'fenced', highest });
  }

  /**
   * Gives the lease up at once and tells the store, so that the next holder need not wait for the
   * span to end. After one span this daemon stands by again.
   *
   * @returns when the store has confirmed, or gave no answer for twice the call timeout: the lease
   *   then runs out by itself
   */
  async release(): Promise<void> {
    this.dispatch({ kind: 'release' });
    if (!this.lease.isReleasing()) {
      return;
    }
    await new Promise<void>((resolve) => {
      const limit = this.settings.clock.setTimer(2 * this.options.callTimeout, resolve);
      this.releaseWaiters.push(() => {
        limit.cancel();
        resolve();
      });
    });
  }

  /** Stops contending. The lease, if held and not released, runs out by itself. */
  dispose(): void {
    this.disposed = true;
    this.wakeTimer?.cancel();
    this.listeners.clear();
    this.settleReleases();
  }

  private detectSuspension(): void {
    const { clock, getTimeOfDay } = this.settings;
    if (getTimeOfDay === undefined) {
      return;
    }
    const offset = getTimeOfDay() - clock.now();
    const shift = Math.abs(offset - (this.dayOffset ?? offset));
    this.dayOffset = offset;
    if (shift > this.options.margin / 2) {
      this.dispatch({ kind: 'suspended' });
    }
  }

  private tick(): void {
    this.dispatch({ kind: 'tick', rank: this.settings.getRank?.() ?? 0 });
  }

  private dispatch(message: LeaseMessage): void {
    if (this.disposed) {
      return;
    }
    const effects = this.lease.handle(message, this.settings.clock.now());
    effects.forEach((effect) => this.run(effect));
    this.notify();
    if (!this.lease.isReleasing()) {
      this.settleReleases();
    }
  }

  private run(effect: LeaseEffect): void {
    const { store } = this.settings;
    const key = `leases/${this.settings.name}`;
    switch (effect.kind) {
      case 'read':
        this.call(effect.attempt, async () => {
          const object = await store.get(key);
          return { kind: 'read-answered', attempt: effect.attempt, object };
        });
        return;
      case 'write':
        this.call(effect.attempt, async () => {
          const outcome = await store.put(key, effect.value, effect.expectedVersion);
          return { kind: 'write-answered', attempt: effect.attempt, outcome };
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
   * Runs a call and gives it up after the timeout: a connection that went silent would otherwise
   * hold the lease's one call for good. The core drops the answer if it still comes.
   */
  private call(attempt: number, send: () => Promise<LeaseMessage>): void {
    const giveUp = () => this.dispatch({ kind: 'call-failed', attempt });
    const timer = this.settings.clock.setTimer(this.options.callTimeout, giveUp);
    send()
      .then((message) => this.dispatch(message), giveUp)
      .finally(() => timer.cancel());
  }

  private wakeAt(at: Milliseconds): void {
    this.wakeTimer?.cancel();
    const delay = at - this.settings.clock.now();
    this.wakeTimer = this.settings.clock.setTimer(delay, () => this.tick());
  }

  private notify(): void {
    const fencingNumber = this.getFencingNumber();
    if (fencingNumber === this.lastNumber) {
      return;
    }
    this.lastNumber = fencingNumber;
    this.listeners.forEach((listener) => listener(fencingNumber));
  }

  private settleReleases(): void {
    this.releaseWaiters.splice(0).forEach((settle) => settle());
  }
}
