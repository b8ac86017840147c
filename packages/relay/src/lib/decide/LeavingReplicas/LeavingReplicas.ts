/** Bounds of what is remembered and repeated about leaving replicas. */
export const leavingOptions = {
  /** Replicas that are remembered; the oldest are discarded first. */
  maxRemembered: 4_096,
  /** Replicas per datagram that keep it below an MTU of 1,500 bytes. */
  maxPerDatagram: 24,
};

/**
 * The replicas that announced that they are about to leave. An announcement holds until the end of the
 * replica's process, and the next process has another ID. Therefore an announcement is never withdrawn, and
 * it is kept independently of the replica list, from which entries can disappear for a while.
 */
export class LeavingReplicas {
  private readonly ids = new Set<string>();

  has(id: string): boolean {
    return this.ids.has(id);
  }

  /** @returns whether the replica was not known to be leaving */
  add(id: string): boolean {
    if (this.ids.has(id)) {
      return false;
    }
    this.ids.add(id);
    if (this.ids.size > leavingOptions.maxRemembered) {
      const [oldest] = this.ids;
      this.ids.delete(oldest!);
    }
    return true;
  }

  /** Returns the newest announcements of replicas that meet a condition. */
  getNewest(isRelevant: (id: string) => boolean): string[] {
    return [...this.ids].filter(isRelevant).slice(-leavingOptions.maxPerDatagram);
  }
}
