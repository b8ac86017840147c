import type { Rumour } from '../messages.js';
import { getRumourBytes } from './getRumourBytes.js';

interface QueuedRumour {
  key: string;
  rumour: Rumour;
  bytes: number;
  sendsLeft: number;
  sends: number;
}

/** What a rumour is about: a newer one on the same subject takes its place. */
export function getRumourKey(rumour: Rumour): string {
  switch (rumour.kind) {
    case 'member':
      return `member ${rumour.record.id}`;
    case 'verdict':
      return `member ${rumour.verdict.id}`;
    case 'replica-leaving':
      return `replica ${rumour.notice.replica}`;
    case 'zone-load':
    default:
      return `zone ${rumour.report.availabilityZone}`;
  }
}

/**
 * What is to be told, and how often it was. The least told goes first, so that a burst of news
 * passes through bounded messages without anything waiting for good.
 */
export class RumourQueue {
  private readonly queue = new Map<string, QueuedRumour>();

  get size(): number {
    return this.queue.size;
  }

  /** Adds a rumour in place of an older one on the same subject. */
  add(rumour: Rumour, sends: number): void {
    const key = getRumourKey(rumour);
    const bytes = getRumourBytes(rumour);
    this.queue.set(key, { key, rumour, bytes, sendsLeft: sends, sends: 0 });
  }

  /**
   * Takes the least told rumours that fit; each counts as told once more.
   *
   * @param except - subjects of which the receiver knows
   * @param onTaken - told the size of each rumour taken
   */
  take(maxBytes: number, except: ReadonlySet<string>, onTaken: (bytes: number) => void): Rumour[] {
    const candidates = [...this.queue.values()]
      .filter(({ key }) => !except.has(key))
      .sort((left, right) => left.sends - right.sends);
    let bytesLeft = maxBytes;
    const taken = candidates.filter(({ bytes }) => {
      const fits = bytes <= bytesLeft;
      bytesLeft -= fits ? bytes : 0;
      return fits;
    });
    taken.forEach((queued) => {
      this.countSend(queued);
      onTaken(queued.bytes);
    });
    return taken.map(({ rumour }) => rumour);
  }

  clear(): void {
    this.queue.clear();
  }

  private countSend(queued: QueuedRumour): void {
    const counted = { ...queued, sends: queued.sends + 1, sendsLeft: queued.sendsLeft - 1 };
    if (counted.sendsLeft > 0) {
      this.queue.set(queued.key, counted);
    } else {
      this.queue.delete(queued.key);
    }
  }
}
