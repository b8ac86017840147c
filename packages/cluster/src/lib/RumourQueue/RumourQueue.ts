import type { Rumour } from '../messages.js';
import { estimateRumourBytes } from './estimateRumourBytes.js';

interface QueuedRumour {
  key: string;
  rumour: Rumour;
  bytes: number;
  sendsLeft: number;
  sends: number;
}

/** Identifies a rumour's subject: a newer rumour with the same key replaces an older one. */
export function getRumourKey(rumour: Rumour): string {
  switch (rumour.kind) {
    case 'member':
      return `member ${rumour.record.id}`;
    case 'member-state':
      return `member ${rumour.update.id}`;
    case 'replica-leaving':
      return `replica ${rumour.notice.replica}`;
    case 'zone-load':
    default:
      return `zone ${rumour.report.availabilityZone}`;
  }
}

/**
 * The queue of rumours to piggyback on messages, with the number of times each was sent. The least
 * sent go first, so that a burst of rumours gets through size-limited messages without starving
 * any.
 */
export class RumourQueue {
  private readonly queue = new Map<string, QueuedRumour>();

  get size(): number {
    return this.queue.size;
  }

  /** Adds a rumour to be sent the given number of times, replacing one with the same key. */
  add(rumour: Rumour, sends: number): void {
    const key = getRumourKey(rumour);
    const bytes = estimateRumourBytes(rumour);
    this.queue.set(key, { key, rumour, bytes, sendsLeft: sends, sends: 0 });
  }

  /**
   * Takes the least sent rumours that fit, and counts one more send for each.
   *
   * @param excludedKeys - keys of rumours that the receiver already has
   * @param onTaken - called with the size of each rumour taken
   */
  take(
    maxBytes: number,
    excludedKeys: ReadonlySet<string>,
    onTaken: (bytes: number) => void,
  ): Rumour[] {
    const candidates = [...this.queue.values()]
      .filter(({ key }) => !excludedKeys.has(key))
      .sort((left, right) => left.sends - right.sends);
    let bytesLeft = maxBytes;
    const taken = candidates.filter(({ bytes }) => {
      const fits = bytes <= bytesLeft;
      bytesLeft -= fits ? bytes : 0;
      return fits;
    });
    taken.forEach((queued) => {
      this.recordSend(queued);
      onTaken(queued.bytes);
    });
    return taken.map(({ rumour }) => rumour);
  }

  clear(): void {
    this.queue.clear();
  }

  private recordSend(queued: QueuedRumour): void {
    const updated = { ...queued, sends: queued.sends + 1, sendsLeft: queued.sendsLeft - 1 };
    if (updated.sendsLeft > 0) {
      this.queue.set(queued.key, updated);
    } else {
      this.queue.delete(queued.key);
    }
  }
}
