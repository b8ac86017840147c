import type { Clock, Milliseconds, Random } from '@apricotrill/utils';
import type { CacheChange } from './PrefixCache.js';

/**
 * A cache change as an engine publishes it. A missing sequence number is a change nobody will hear
 * of.
 *
 * @public
 */
export interface CacheEvent extends CacheChange {
  sequence: number;
}

/** How badly cache events are published. */
export interface CacheEventOptions {
  /** How late an event is published, in milliseconds. */
  lag: Milliseconds;
  /** Share of events that are never published, 0 to 1. */
  lossShare: number;
  /** Events kept for those who ask late. */
  kept: number;
}

/** Publishes cache changes late and with gaps, as engines do. */
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
    if (this.random.next() < this.options.lossShare) {
      return;
    }
    const event = { ...change, sequence: this.sequence };
    this.events.push({ event, visibleAt: this.clock.now() + this.options.lag });
    if (this.events.length > this.options.kept) {
      this.events.shift();
    }
  }

  /** The published events after a sequence number, oldest first. */
  getAfter(sequence: number): CacheEvent[] {
    const now = this.clock.now();
    return this.events
      .filter(({ event, visibleAt }) => event.sequence > sequence && visibleAt <= now)
      .map(({ event }) => event);
  }
}
