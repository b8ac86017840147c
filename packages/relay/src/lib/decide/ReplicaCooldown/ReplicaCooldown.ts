import type { Milliseconds } from '@apricotrill/utils';

/** When a replica is avoided for the breaks that all daemons had with it. */
export const breakOptions = {
  /** So many breaks within the window; one request in fifty that breaks at a busy engine is less. */
  count: 3,
  window: 2_000 satisfies Milliseconds,
  /** The first time; it doubles each time that the replica breaks again soon after. */
  firstSpan: 2_000 satisfies Milliseconds,
  longestSpan: 8_000 satisfies Milliseconds,
  /** A replica that did well for so long after it was avoided begins anew. */
  calm: 10_000 satisfies Milliseconds,
};

/**
 * Counts the attempts that broke at one replica, at whichever daemon.
 *
 * What goes wrong: a replica breaks all it gets while its health check says that it is well. In a
 * large fleet each daemon sends it one request in some seconds, so that none of them ever sees
 * three in a row break, and the replica costs its full share of requests for as long as it lasts.
 * Counted together, the third break is enough, and a replica that goes down and up by turns is
 * avoided longer each time.
 */
export class BreakWindow {
  private breaks: Milliseconds[] = [];

  private span: Milliseconds = 0;

  private avoidedUntil: Milliseconds = 0;

  /** @returns how long the replica is avoided from now on; undefined where nothing changes */
  note(now: Milliseconds): Milliseconds | undefined {
    if (this.isAvoided(now)) {
      // What was under way there when it was convicted says nothing new.
      return undefined;
    }
    this.breaks = [...this.breaks.filter((at) => at > now - breakOptions.window), now];
    if (this.breaks.length < breakOptions.count) {
      return undefined;
    }
    const isRelapse = this.span > 0 && now - this.avoidedUntil < breakOptions.calm;
    const { firstSpan, longestSpan } = breakOptions;
    this.span = isRelapse ? Math.min(longestSpan, this.span * 2) : firstSpan;
    this.avoidedUntil = now + this.span;
    this.breaks = [];
    return this.span;
  }

  isAvoided(now: Milliseconds): boolean {
    return now < this.avoidedUntil;
  }
}
