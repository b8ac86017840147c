import type { Milliseconds } from '@apricotrill/utils';
import { pathOptions } from '../pathOptions.js';

/** A path that is lost: another daemon reaches the replica, and this one does not. */
interface LostPath {
  since: Milliseconds;
  /** Probes in a row in which the replica accepted a connection. */
  successes: number;
}

/** What the loss of a path changes. */
export interface PathLoss {
  isNew: boolean;
  /** Whether this daemon is likely to be isolated from all replicas, unless it reaches another one. */
  isIsolationLikely: boolean;
}

/** What a probe of a lost path changes. */
export interface PathRecovery {
  /** How long the path was lost; undefined if it still is. */
  restoredAfter: Milliseconds | undefined;
  /** How long this daemon was isolated; undefined if it still is, or was not. */
  isolatedFor: Milliseconds | undefined;
}

/**
 * Records which replicas this daemon can open connections to, and when it last received anything from
 * any replica.
 *
 * A path is lost only if another daemon reaches the replica at the same time. Once two paths are lost
 * and since then no connection to any replica could be opened, or nothing was received over any, and
 * checks of other replicas failed as well, the daemon counts as isolated: it is more likely to be partitioned from all replicas than from just these. A path is restored by several
 * successful probes in a row, more of them after a relapse, so that a partition that comes and goes
 * does not move requests back and forth.
 */
export class PathTable {
  /** When the first connection in a row could not be opened, by replica. */
  private readonly failingSince = new Map<string, Milliseconds>();

  private readonly lost = new Map<string, LostPath>();

  private listed: ReadonlySet<string> = new Set();

  private lastContactAt: Milliseconds | undefined;

  private lastOpenedAt: Milliseconds = Number.NEGATIVE_INFINITY;

  private isolatedSince: Milliseconds | undefined;

  private isolationSuccesses = 0;

  private lastRestoredAt: Milliseconds = Number.NEGATIVE_INFINITY;

  private requiredSuccesses = pathOptions.requiredSuccesses;

  /** Number of replicas to which the last connection could not be opened. */
  get failingCount(): number {
    return this.failingSince.size;
  }

  /** IDs of the replicas whose path is known to be lost. */
  get lostReplicas(): string[] {
    return [...this.lost.keys()];
  }

  /** Number of replicas whose path is lost. */
  get lostCount(): number {
    return this.isIsolated ? this.listed.size : this.lost.size;
  }

  get listedCount(): number {
    return this.listed.size;
  }

  /** Whether this daemon reaches no replica. */
  get isIsolated(): boolean {
    return this.isolatedSince !== undefined;
  }

  isLost(replica: string): boolean {
    return this.isIsolated || this.lost.has(replica);
  }

  /** Records that a replica has sent something over a connection of this daemon. */
  recordContact(now: Milliseconds): void {
    this.lastContactAt = now;
  }

  /**
   * Records that a connection was opened.
   *
   * @returns how long connections to the replica could not be opened; undefined if they could
   */
  recordOpened(replica: string, now: Milliseconds): Milliseconds | undefined {
    this.lastOpenedAt = now;
    const since = this.failingSince.get(replica);
    this.failingSince.delete(replica);
    return since === undefined ? undefined : now - since;
  }

  /** Records that a replica has responded to a check on a new connection. */
  recordReached(replica: string, now: Milliseconds): void {
    this.recordContact(now);
    this.recordOpened(replica, now);
  }

  /** @returns whether the previous connection to the replica could be opened */
  recordFailure(replica: string, now: Milliseconds): boolean {
    const isNew = !this.failingSince.has(replica);
    if (isNew) {
      this.failingSince.set(replica, now);
    }
    return isNew;
  }

  /** Records that another daemon reaches a replica that this daemon can't connect to. */
  recordLost(replica: string, now: Milliseconds): PathLoss {
    if (!this.listed.has(replica) || this.lost.has(replica)) {
      return { isNew: false, isIsolationLikely: false };
    }
    const hasRelapsed = now - this.lastRestoredAt < pathOptions.relapsePeriod;
    if (this.lost.size === 0 && !this.isIsolated) {
      this.requiredSuccesses = hasRelapsed
        ? Math.min(this.requiredSuccesses * 2, pathOptions.maxRequiredSuccesses)
        : pathOptions.requiredSuccesses;
    }
    this.lost.set(replica, { since: now, successes: 0 });
    return { isNew: true, isIsolationLikely: !this.isIsolated && this.hasLostAll() };
  }

  /**
   * Records that the other replicas were probed, and none of them could be connected to.
   *
   * @returns whether this daemon now counts as isolated, unlike before
   */
  confirmIsolation(now: Milliseconds): boolean {
    if (this.isIsolated || !this.hasLostAll()) {
      return false;
    }
    this.isolatedSince = now;
    this.isolationSuccesses = 0;
    return true;
  }

  /** Records the result of a probe of a replica whose path is lost. */
  recordProbe(replica: string, isUp: boolean, now: Milliseconds): PathRecovery {
    const path = this.lost.get(replica);
    const unchanged = { restoredAfter: undefined, isolatedFor: undefined };
    if (!isUp) {
      this.isolationSuccesses = 0;
      if (path !== undefined) {
        path.successes = 0;
      }
      return unchanged;
    }
    this.isolationSuccesses += 1;
    if (path !== undefined) {
      path.successes += 1;
    }
    if (this.isolatedSince !== undefined && this.isolationSuccesses >= this.requiredSuccesses) {
      const isolatedFor = now - this.isolatedSince;
      this.restoreAll(now);
      return { restoredAfter: isolatedFor, isolatedFor };
    }
    if (this.isIsolated || path === undefined || path.successes < this.requiredSuccesses) {
      return unchanged;
    }
    this.lost.delete(replica);
    this.failingSince.delete(replica);
    this.lastRestoredAt = now;
    return { restoredAfter: now - path.since, isolatedFor: undefined };
  }

  /** Time since any replica last sent something; undefined before the first time. */
  getSilence(now: Milliseconds): Milliseconds | undefined {
    return this.lastContactAt === undefined ? undefined : now - this.lastContactAt;
  }

  /** Sets the replicas that are listed, and discards what is known of all others. */
  retain(replicas: ReadonlySet<string>): void {
    this.listed = replicas;
    [this.failingSince, this.lost].forEach((known) =>
      [...known.keys()].filter((id) => !replicas.has(id)).forEach((id) => known.delete(id)),
    );
  }

  /** Whether the lost paths are enough to conclude that this daemon reaches no replica. */
  private hasLostAll(): boolean {
    const firstLoss = Math.min(...[...this.lost.values()].map(({ since }) => since));
    const evidence = Math.min(pathOptions.isolationEvidence, this.listed.size);
    const lastContactAt = this.lastContactAt ?? Number.NEGATIVE_INFINITY;
    // Open connections may live on while new ones fail, and a middlebox may accept new ones.
    const isCut = this.lastOpenedAt < firstLoss || lastContactAt < firstLoss;
    return this.lost.size >= evidence && isCut;
  }

  private restoreAll(now: Milliseconds): void {
    this.isolatedSince = undefined;
    this.isolationSuccesses = 0;
    this.lastRestoredAt = now;
    this.lost.clear();
    this.failingSince.clear();
  }
}
