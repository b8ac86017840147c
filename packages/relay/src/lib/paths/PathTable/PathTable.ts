import type { Milliseconds } from '@apricotrill/utils';

/**
 * Records which replicas this daemon can open connections to, and when it last received anything from
 * any replica. A replica that another daemon reaches at the same time is not down: the path of this
 * daemon is.
 */
export class PathTable {
  /** When the first connection in a row could not be opened, by replica. */
  private readonly failingSince = new Map<string, Milliseconds>();

  private lastContactAt: Milliseconds | undefined;

  /** Number of replicas to which the last connection could not be opened. */
  get failingCount(): number {
    return this.failingSince.size;
  }

  /** Records that a replica has sent something. */
  recordContact(now: Milliseconds): void {
    this.lastContactAt = now;
  }

  /**
   * Records that a connection was opened.
   *
   * @returns how long connections to the replica could not be opened; undefined if they could
   */
  recordOpened(replica: string, now: Milliseconds): Milliseconds | undefined {
    this.recordContact(now);
    const since = this.failingSince.get(replica);
    this.failingSince.delete(replica);
    return since === undefined ? undefined : now - since;
  }

  /** @returns whether the previous connection to the replica could be opened */
  recordFailure(replica: string, now: Milliseconds): boolean {
    const isNew = !this.failingSince.has(replica);
    if (isNew) {
      this.failingSince.set(replica, now);
    }
    return isNew;
  }

  /** Time since any replica last sent something; undefined before the first time. */
  getSilence(now: Milliseconds): Milliseconds | undefined {
    return this.lastContactAt === undefined ? undefined : now - this.lastContactAt;
  }

  /** Discards what is known of all other replicas. */
  retain(replicas: ReadonlySet<string>): void {
    [...this.failingSince.keys()]
      .filter((id) => !replicas.has(id))
      .forEach((id) => this.failingSince.delete(id));
  }
}
