import type { Milliseconds } from '@apricotrill/utils';

/** Thresholds and durations of the cooldown after broken attempts. */
export const cooldownOptions = {
  /**
   * Number of broken attempts within the window that starts a cooldown. A busy engine that breaks
   * one request in fifty stays below it.
   */
  threshold: 3,
  window: 2_000 satisfies Milliseconds,
  /** Duration of the first cooldown; it doubles each time that attempts break again soon after. */
  minDuration: 2_000 satisfies Milliseconds,
  maxDuration: 8_000 satisfies Milliseconds,
  /** Time after a cooldown without another one that resets the duration. */
  resetAfter: 10_000 satisfies Milliseconds,
};

/**
 * Counts the broken attempts of all daemons at one replica.
 *
 * A replica may break every request while its health check succeeds. In a large fleet, each daemon
 * sends it one request every few seconds, so that no daemon sees three consecutive broken attempts,
 * and the replica fails its full share of requests for as long as the fault lasts. Counted across
 * all daemons, the third broken attempt starts a cooldown. The cooldown gets longer each time if
 * the replica goes down repeatedly.
 */
export class ReplicaCooldown {
  private brokenAt: Milliseconds[] = [];

  private duration: Milliseconds = 0;

  private endsAt: Milliseconds = 0;

  /**
   * Records a broken attempt.
   *
   * @returns the duration of the cooldown that starts now; undefined if none does
   */
  recordBrokenAttempt(now: Milliseconds): Milliseconds | undefined {
    if (this.isActive(now)) {
      // Requests that were in flight when the cooldown started give no new information.
      return undefined;
    }
    this.brokenAt = [...this.brokenAt.filter((at) => at > now - cooldownOptions.window), now];
    if (this.brokenAt.length < cooldownOptions.threshold) {
      return undefined;
    }
    const isRelapse = this.duration > 0 && now - this.endsAt < cooldownOptions.resetAfter;
    const { minDuration, maxDuration } = cooldownOptions;
    this.duration = isRelapse ? Math.min(maxDuration, this.duration * 2) : minDuration;
    this.endsAt = now + this.duration;
    this.brokenAt = [];
    return this.duration;
  }

  isActive(now: Milliseconds): boolean {
    return now < this.endsAt;
  }
}
