import type { Milliseconds } from '@apricotrill/utils';
import type { CoreContext } from '../CoreContext.js';
import { decide } from '../CoreContext.js';
import type { ReplicaNotice, Rumour } from '../messages.js';

/** Word that lasts longer than the known one by less than this share of its span is no news. */
const NEWS_SHARE = 0.25;

/** Own word is repeated once so little of the span is left. */
const RENEWAL_SHARE = 0.5;

/** More backend servers than any deployment has: bounds what a faulty peer can make us keep. */
const MAX_NOTICES = 16_384;

/**
 * Word that backend servers are leaving: the platform's list lags, so whoever is refused by a
 * leaving server tells the others. A word ends by itself, since a server may stay after all, and
 * is repeated by whoever is refused again.
 */
export class ReplicaNotices {
  private readonly expiries = new Map<string, Milliseconds>();

  constructor(
    private readonly context: CoreContext,
    private readonly tell: (rumour: Rumour) => void,
  ) {}

  /** This daemon's own finding, or the list's. */
  report(replica: string): void {
    const span = this.context.options.replicaNoticeSpan;
    if (this.getRemaining(replica) < span * RENEWAL_SHARE) {
      this.set(replica, span, true);
    }
  }

  /** A peer's word. It never lasts longer than a new one, whatever the peer says. */
  hear({ replica, remaining }: ReplicaNotice): void {
    const span = this.context.options.replicaNoticeSpan;
    const lasting = Math.min(remaining, span);
    if (lasting > this.getRemaining(replica) + span * NEWS_SHARE) {
      this.set(replica, lasting, false);
    }
  }

  /** All words that still hold. */
  getNotices(): ReplicaNotice[] {
    this.forgetExpired();
    return [...this.expiries.keys()].map((replica) => ({
      replica,
      remaining: this.getRemaining(replica),
    }));
  }

  /** A rumour as it stands now: it may have waited in a queue. */
  refresh(notice: ReplicaNotice): ReplicaNotice {
    return { replica: notice.replica, remaining: this.getRemaining(notice.replica) };
  }

  private getRemaining(replica: string): Milliseconds {
    const expiry = this.expiries.get(replica) ?? Number.NEGATIVE_INFINITY;
    return Math.max(0, Math.round(expiry - this.context.clock.now()));
  }

  private set(replica: string, remaining: Milliseconds, isOwnWord: boolean): void {
    const isNew = this.getRemaining(replica) === 0;
    this.forgetExpired();
    if (isNew && this.expiries.size >= MAX_NOTICES) {
      return;
    }
    this.expiries.set(replica, this.context.clock.now() + remaining);
    this.tell({ kind: 'replica-leaving', notice: { replica, remaining } });
    this.context.emit({ kind: 'replica-leaving', replica, remaining });
    if (isNew) {
      decide(this.context, { kind: 'replica-leaving', replica, isOwnWord });
    }
  }

  private forgetExpired(): void {
    const now = this.context.clock.now();
    this.expiries.forEach((expiry, replica) => {
      if (expiry <= now) {
        this.expiries.delete(replica);
      }
    });
  }
}
