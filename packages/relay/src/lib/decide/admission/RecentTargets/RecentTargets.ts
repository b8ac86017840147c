import type { Milliseconds } from '@apricotrill/utils';

/** Remembers the latency targets of recent requests. A service has only a few kinds of requests. */
export class RecentTargets {
  private readonly lastSeenAt = new Map<Milliseconds, Milliseconds>();

  /** @param memory - how long a latency target counts after a request with it */
  constructor(private readonly memory: Milliseconds) {}

  record(latencyTarget: Milliseconds, now: Milliseconds): void {
    this.lastSeenAt.set(latencyTarget, now);
  }

  /** The shortest recent latency target; infinite if there were no requests. */
  getShortest(now: Milliseconds): Milliseconds {
    let shortest = Number.POSITIVE_INFINITY;
    this.lastSeenAt.forEach((seenAt, latencyTarget) => {
      if (now - seenAt > this.memory) {
        this.lastSeenAt.delete(latencyTarget);
      } else {
        shortest = Math.min(shortest, latencyTarget);
      }
    });
    return shortest;
  }
}
