import type { Clock, Milliseconds, Random } from '@apricotrill/utils';
import type { CacheChange } from './PrefixCache.js';

/**
 * A cache change as published by an engine. A gap in the sequence numbers means that a change was
 * never published.
 *
 * @public
 */
export interface CacheEvent extends CacheChange {
  sequence: number;
}

/** The delay, loss and retention of cache events. */
export interface CacheEventOptions {
  /** By how much an event is delayed, in milliseconds. */
  lag: Milliseconds;
  /** The share of events that are never published, 0 to 1. */
  lossRate: number;
  /** The number of events kept for later reads. */
  maxEvents: number;
}

/** Publishes cache changes with a delay and with gaps, as real engines do. */
export class CacheEventLog {
  private sequence = 0;

  private readonly events: { event: CacheEvent; visibleAt: Milliseconds }[] = [];

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly options: CacheEventOptions,
  ) {}

  add(change: CacheChange): void {
    this.sequence += 1;
    if (this.random.next() < this.options.lossRate) {
      return;
    }
    const event = { ...change, sequence: this.sequence };
    this.events.push({ event, visibleAt: this.clock.now() + this.options.lag });
    if (this.events.length > this.options.maxEvents) {
      this.events.shift();
    }
  }

  /** Returns the published events after a sequence number, oldest first. */
  getAfter(sequence: number): CacheEvent[] {
    const now = this.clock.now();
    return this.events
      .filter(({ event, visibleAt }) => event.sequence > sequence && visibleAt <= now)
      .map(({ event }) => event);
  }
}
