/** Weight of the newest attempt in the failure rate. */
const NEWEST_WEIGHT = 0.15;

/** How many attempts at a replica failed or broke lately. */
export class AttemptFailures {
  private rate = 0;

  private consecutiveBroken = 0;

  /** Moving average of the share of attempts that failed or broke. */
  get failureRate(): number {
    return this.rate;
  }

  recordSuccess(): void {
    this.consecutiveBroken = 0;
    this.rate += NEWEST_WEIGHT * (0 - this.rate);
  }

  /** Records a response that reports a failure. The response itself shows that the replica is up. */
  recordFailure(): void {
    this.consecutiveBroken = 0;
    this.rate += NEWEST_WEIGHT * (1 - this.rate);
  }

  /** @returns the number of attempts that broke one after the other */
  recordBroken(): number {
    this.consecutiveBroken += 1;
    this.rate += NEWEST_WEIGHT * (1 - this.rate);
    return this.consecutiveBroken;
  }

  /** Withdraws failures for which the replica was not responsible. */
  forgive(failureRate: number): void {
    this.consecutiveBroken = 0;
    this.rate = Math.min(this.rate, failureRate);
  }

  clearBroken(): void {
    this.consecutiveBroken = 0;
  }
}
