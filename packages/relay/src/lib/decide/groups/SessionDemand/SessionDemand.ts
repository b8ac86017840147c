import type { Milliseconds } from '@apricotrill/utils';

/** Options for the demand of sessions. */
export const sessionDemandOptions = {
  /** After this time, a request counts for half. Bursts last a few seconds. */
  halfLife: 2_000 satisfies Milliseconds,
  /** Requests below which the share of a session says little. */
  minRequests: 10,
  /** Time for which a group is assumed to have cached the prompts of a session that was sent there. */
  cacheSpan: 5_000 satisfies Milliseconds,
  /** Maximum number of sessions; those without requests for the longest time are forgotten. */
  maxSessions: 1_000,
};

/** A count that halves with each half-life. */
interface DecayingCount {
  count: number;
  at: Milliseconds;
}

interface Session extends DecayingCount {
  /** When it was last sent to a group. */
  groups: Map<string, Milliseconds>;
}

function getCount({ count, at }: DecayingCount, now: Milliseconds): number {
  return count * 2 ** (-(now - at) / sessionDemandOptions.halfLife);
}

/**
 * The demand of the sessions of one service at this daemon, and the groups that they were sent to.
 *
 * Load pattern: one session gets much of the traffic. The callers of a session arrive at all daemons, so
 * its share of the requests of this daemon is about its share of all requests, and tells how many groups
 * it needs.
 */
export class SessionDemand {
  /** Ordered by the last request. */
  private readonly sessions = new Map<string, Session>();

  private readonly total: DecayingCount = { count: 0, at: 0 };

  /** Records that a request of a session is sent to a group. */
  record(id: string, group: string, now: Milliseconds): void {
    Object.assign(this.total, { count: getCount(this.total, now) + 1, at: now });
    const session = this.sessions.get(id) ?? { count: 0, at: now, groups: new Map() };
    session.count = getCount(session, now) + 1;
    session.at = now;
    session.groups.set(group, now);
    this.sessions.delete(id);
    this.sessions.set(id, session);
    const [oldest] = this.sessions.keys();
    if (this.sessions.size > sessionDemandOptions.maxSessions) {
      this.sessions.delete(oldest!);
    }
  }

  /** The number of groups, of all that the service has, that the demand of a session would fill. */
  getSpread(id: string, groups: number, now: Milliseconds): number {
    const session = this.sessions.get(id);
    if (session === undefined) {
      return 1;
    }
    const total = Math.max(sessionDemandOptions.minRequests, getCount(this.total, now));
    return Math.max(1, Math.ceil((getCount(session, now) / total) * groups));
  }

  /** Whether a session was sent to a group recently, so that its prompts are cached there. */
  isCached(id: string, group: string, now: Milliseconds): boolean {
    const sentAt = this.sessions.get(id)?.groups.get(group);
    return sentAt !== undefined && now - sentAt <= sessionDemandOptions.cacheSpan;
  }
}
