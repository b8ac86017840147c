import type { Milliseconds, Timer } from '@apricotrill/utils';
import type { CoreContext } from '../CoreContext.js';
import { jitter } from '../CoreContext.js';
import type { Rumour } from '../messages.js';
import { getRumourKey, RumourQueue } from '../RumourQueue/RumourQueue.js';

const SECOND = 1000;

/** How long an unused share of the bytes may be saved up. */
const SAVED: Milliseconds = 2 * SECOND;

/** Two members' worth of rounds at least: in a small cluster each message reaches few. */
const LEAST_DIGITS = 2;

interface SpreaderParts {
  context: CoreContext;
  /** How many members there are. */
  getSize: () => number;
  /** Sends one round of gossip. */
  push: () => void;
}

/**
 * Tells rumours: on every probe and answer, and by rounds of gossip while any are left. All of it
 * shares one allowance of bytes, so that a burst of news (a zone that fails) takes longer and not
 * more of the network.
 */
export class Spreader {
  private readonly queue = new RumourQueue();

  private timer: Timer | undefined;

  private allowance: number;

  private allowanceAt: Milliseconds;

  constructor(private readonly parts: SpreaderParts) {
    const { clock, options } = parts.context;
    this.allowance = (options.gossipBytesPerSecond * SAVED) / SECOND;
    this.allowanceAt = clock.now();
  }

  /** Queues a rumour for as many sends as reach everybody in all likelihood. */
  tell(rumour: Rumour): void {
    const digits = Math.ceil(Math.log10(this.parts.getSize() + 1));
    const { rumourRepeats } = this.parts.context.options;
    this.add(rumour, rumourRepeats * Math.max(LEAST_DIGITS, digits));
  }

  /** Queues a rumour that a newer one replaces soon: a few sends are enough. */
  tellBriefly(rumour: Rumour): void {
    this.add(rumour, this.parts.context.options.rumourRepeats);
  }

  /**
   * Rumours for one message, within its bound and the allowance.
   *
   * @param heard - what the receiver has just told: telling it back would use up the sends
   */
  take(heard: readonly Rumour[] = []): Rumour[] {
    const { options, counters } = this.parts.context;
    this.refill();
    const maxBytes = Math.min(options.rumourBytes, this.allowance);
    const known = new Set(heard.map(getRumourKey));
    const rumours = this.queue.take(maxBytes, known, (bytes) => {
      this.allowance -= bytes;
    });
    counters.rumoursSent += rumours.length;
    return rumours;
  }

  dispose(): void {
    this.timer?.cancel();
    this.queue.clear();
  }

  private add(rumour: Rumour, sends: number): void {
    if (sends > 0) {
      this.queue.add(rumour, sends);
      this.arm();
    }
  }

  private arm(): void {
    const { context } = this.parts;
    if (this.timer === undefined && this.queue.size > 0) {
      const delay = jitter(context, context.options.gossipInterval);
      this.timer = context.clock.setTimer(delay, () => this.round());
    }
  }

  private round(): void {
    this.timer = undefined;
    this.parts.push();
    this.arm();
  }

  private refill(): void {
    const { clock, options } = this.parts.context;
    const rate = options.gossipBytesPerSecond / SECOND;
    const now = clock.now();
    const refilled = this.allowance + (now - this.allowanceAt) * rate;
    this.allowance = Math.min(rate * SAVED, refilled);
    this.allowanceAt = now;
  }
}
