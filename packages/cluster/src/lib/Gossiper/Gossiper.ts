import type { Milliseconds, Timer } from '@apricotrill/utils';
import type { CoreContext } from '../CoreContext.js';
import { addJitter } from '../CoreContext.js';
import type { Rumour } from '../messages.js';
import { getRumourKey, RumourQueue } from '../RumourQueue/RumourQueue.js';

const SECOND_MS = 1000;

/** The byte budget holds at most this much time's worth of `gossipBytesPerSecond`. */
const BURST_DURATION: Milliseconds = 2 * SECOND_MS;

/**
 * Lower bound of the logarithm of the cluster size in the number of sends: in a small cluster each
 * message reaches few members.
 */
const MIN_DIGITS = 2;

interface GossiperSettings {
  context: CoreContext;
  getMemberCount: () => number;
  /** Sends one round of gossip messages. */
  sendGossip: () => void;
}

/**
 * Disseminates rumours: piggybacked on every probe and response, and in gossip rounds while any are
 * queued. All of them share one token bucket of bytes, so that a burst of rumours (such as the
 * failure of a zone) takes longer instead of using more bandwidth.
 */
export class Gossiper {
  private readonly queue = new RumourQueue();

  private timer: Timer | undefined;

  private availableBytes: number;

  private refilledAt: Milliseconds;

  constructor(private readonly settings: GossiperSettings) {
    const { clock, options } = settings.context;
    this.availableBytes = (options.gossipBytesPerSecond * BURST_DURATION) / SECOND_MS;
    this.refilledAt = clock.now();
  }

  /** Queues a rumour with enough sends to reach all members with high probability. */
  queueRumour(rumour: Rumour): void {
    const digits = Math.ceil(Math.log10(this.settings.getMemberCount() + 1));
    const { rumourRetransmitMultiplier } = this.settings.context.options;
    this.enqueue(rumour, rumourRetransmitMultiplier * Math.max(MIN_DIGITS, digits));
  }

  /** Queues a rumour that will soon be replaced by a newer one, so a few sends are enough. */
  queueShortLivedRumour(rumour: Rumour): void {
    this.enqueue(rumour, this.settings.context.options.rumourRetransmitMultiplier);
  }

  /**
   * Takes rumours for one message, within the message's size limit and the byte budget.
   *
   * @param received - rumours that the receiver has just sent: echoing them would waste sends
   */
  takeRumours(received: readonly Rumour[] = []): Rumour[] {
    const { options, counters } = this.settings.context;
    this.refill();
    const maxBytes = Math.min(options.maxRumourBytes, this.availableBytes);
    const known = new Set(received.map(getRumourKey));
    const rumours = this.queue.take(maxBytes, known, (bytes) => {
      this.availableBytes -= bytes;
    });
    counters.rumoursSent += rumours.length;
    return rumours;
  }

  dispose(): void {
    this.timer?.cancel();
    this.queue.clear();
  }

  private enqueue(rumour: Rumour, sends: number): void {
    if (sends > 0) {
      this.queue.add(rumour, sends);
      this.scheduleRound();
    }
  }

  private scheduleRound(): void {
    const { context } = this.settings;
    if (this.timer === undefined && this.queue.size > 0) {
      const delay = addJitter(context, context.options.gossipInterval);
      this.timer = context.clock.setTimer(delay, () => this.runRound());
    }
  }

  private runRound(): void {
    this.timer = undefined;
    this.settings.sendGossip();
    this.scheduleRound();
  }

  private refill(): void {
    const { clock, options } = this.settings.context;
    const rate = options.gossipBytesPerSecond / SECOND_MS;
    const now = clock.now();
    const refilled = this.availableBytes + (now - this.refilledAt) * rate;
    this.availableBytes = Math.min(rate * BURST_DURATION, refilled);
    this.refilledAt = now;
  }
}
