import type { Clock, Milliseconds, Timer } from '@apricotrill/utils';
import type { PeerUpdate } from '../PeerUpdate.js';

/** How news is gathered. */
export const outboxOptions = {
  /**
   * News that can wait goes out together after this long: ends matter to a choice by some tens of
   * milliseconds.
   */
  gather: 60 satisfies Milliseconds,
  /** News in one datagram: it stays under the 1,500 bytes that pass in one piece. */
  most: 5,
};

/** What the outbox is made of. */
export interface OutboxParts {
  clock: Clock;
  /** Sends news to one daemon; to all that are heard where none is named. */
  send: (news: PeerUpdate[], to: string | undefined) => void;
}

interface Pending {
  news: PeerUpdate[];
  timer: Timer | undefined;
}

/** Others may be choosing by it, or wait for it, right now. */
function isUrgent({ kind }: PeerUpdate, to: string | undefined): boolean {
  switch (kind) {
    case 'placed':
    case 'attempt-broken':
    case 'crashed':
    case 'cleared':
    case 'quarantined':
    case 'limits':
    case 'ask':
    case 'reply':
      return true;
    case 'first-byte-received':
      // A placer learns from the moment how fast an engine reads.
      return to !== undefined;
    case 'ended':
    case 'attempt-list':
    case 'usage':
    case 'demand':
      return false;
    default:
      return kind satisfies never;
  }
}

/** News on its way out: what can wait a moment goes with what comes next, by destination. */
export class Outbox {
  private readonly pending = new Map<string | undefined, Pending>();

  constructor(private readonly parts: OutboxParts) {}

  /** @param to - the daemon that it is for; undefined for all */
  add(news: PeerUpdate, to: string | undefined): void {
    const pending = this.pending.get(to) ?? { news: [], timer: undefined };
    this.pending.set(to, pending);
    pending.news.push(news);
    if (isUrgent(news, to) || pending.news.length >= outboxOptions.most) {
      this.flush(to);
      return;
    }
    pending.timer ??= this.parts.clock.setTimer(outboxOptions.gather, () => this.flush(to));
  }

  dispose(): void {
    this.pending.forEach(({ timer }) => timer?.cancel());
    this.pending.clear();
  }

  private flush(to: string | undefined): void {
    const pending = this.pending.get(to);
    if (pending !== undefined) {
      pending.timer?.cancel();
      this.pending.delete(to);
      this.parts.send(pending.news, to);
    }
  }
}
