import type { Milliseconds } from '@apricotrill/utils';
import type { CoreContext } from '../CoreContext.js';
import { emitEvent } from '../CoreContext.js';
import type { ReplicaNotice, Rumour } from '../messages.js';

/** A notice that extends the known one by less than this share of the lifetime is ignored. */
const MIN_EXTENSION_SHARE = 0.25;

/** This daemon repeats its own notice once less than this share of the lifetime remains. */
const RENEWAL_SHARE = 0.5;

/**
 * Limits the memory that a faulty peer can make this daemon use; above the number of backend servers
 * of any deployment.
 */
const MAX_NOTICES = 16_384;

/**
 * Notices that backend servers are leaving. The platform's list lags, so a daemon that is refused by
 * a leaving server tells its peers. A notice expires, since the server may stay after all, and is
 * repeated by any daemon that is refused again.
 */
export class ReplicaNotices {
  private readonly expiries = new Map<string, Milliseconds>();

  constructor(
    private readonly context: CoreContext,
    private readonly queueRumour: (rumour: Rumour) => void,
  ) {}

  /** Reports that a replica is leaving, as observed by this daemon or read from the list. */
  reportLeaving(replica: string): void {
    const lifetime = this.context.options.replicaNoticeLifetime;
    if (this.getRemaining(replica) < lifetime * RENEWAL_SHARE) {
      this.set(replica, lifetime, true);
    }
  }

  /** Handles a peer's notice. Its remaining time is capped at the lifetime of a new notice. */
  handleNotice({ replica, remaining }: ReplicaNotice): void {
    const lifetime = this.context.options.replicaNoticeLifetime;
    const bounded = Math.min(remaining, lifetime);
    if (bounded > this.getRemaining(replica) + lifetime * MIN_EXTENSION_SHARE) {
      this.set(replica, bounded, false);
    }
  }

  /** All notices that have not expired. */
  getNotices(): ReplicaNotice[] {
    this.evictExpired();
    return [...this.expiries.keys()].map((replica) => ({
      replica,
      remaining: this.getRemaining(replica),
    }));
  }

  /** Updates a notice's remaining time, since it may have waited in a queue. */
  updateRemaining(notice: ReplicaNotice): ReplicaNotice {
    return { replica: notice.replica, remaining: this.getRemaining(notice.replica) };
  }

  private getRemaining(replica: string): Milliseconds {
    const expiry = this.expiries.get(replica) ?? Number.NEGATIVE_INFINITY;
    return Math.max(0, Math.round(expiry - this.context.clock.now()));
  }

  private set(replica: string, remaining: Milliseconds, isOwnFinding: boolean): void {
    const isNew = this.getRemaining(replica) === 0;
    this.evictExpired();
    if (isNew && this.expiries.size >= MAX_NOTICES) {
      return;
    }
    this.expiries.set(replica, this.context.clock.now() + remaining);
    this.queueRumour({ kind: 'replica-leaving', notice: { replica, remaining } });
    this.context.emit({ kind: 'replica-leaving', replica, remaining });
    if (isNew) {
      emitEvent(this.context, { kind: 'replica-leaving', replica, isOwnWord: isOwnFinding });
    }
  }

  private evictExpired(): void {
    const now = this.context.clock.now();
    this.expiries.forEach((expiry, replica) => {
      if (expiry <= now) {
        this.expiries.delete(replica);
      }
    });
  }
}
