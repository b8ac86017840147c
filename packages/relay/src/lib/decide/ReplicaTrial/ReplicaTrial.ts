/** Options for trying replicas that seem slow. */
export const trialOptions = {
  /** Fair shares of the requests that a replica misses before it is tried again. */
  missedShares: 16,
};

/**
 * Decides when a replica that seems slow gets a request again. Only its own requests can show that it is
 * fast, and it gets none while others seem faster. At most one in {@link trialOptions.missedShares} of the
 * requests are spent on trials, however many replicas are slow.
 */
export class ReplicaTrial {
  private missedShares = 0;

  private isPending = false;

  private count = 0;

  /** Whether what was measured at the replica must no longer keep requests from it. */
  get isDue(): boolean {
    return this.isPending;
  }

  /** Number of trials so far. What was measured before the newest one is outdated. */
  get round(): number {
    return this.count;
  }

  /** Records that another replica was preferred to this one. */
  recordPassedOver(candidates: number): void {
    this.missedShares += 1 / candidates;
    if (!this.isPending && this.missedShares >= trialOptions.missedShares) {
      this.isPending = true;
      this.count += 1;
    }
  }

  recordChosen(): void {
    this.missedShares = 0;
    this.isPending = false;
  }
}
