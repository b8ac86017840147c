import type { Milliseconds } from '@apricotrill/utils';

/** How the rate of reading is learned. */
export const rateOptions = {
  /** Tokens a millisecond before any prompt was read: of the slower engines in use. */
  first: 40,
  /** The first rate counts like the reading of so many tokens: of two prompts. */
  trust: 6_000,
  /** Of what was learned, the part that is kept for each thousand tokens read since. */
  keptPerThousand: 0.99,
  /** Bounds of what an engine can be taken for, in tokens a millisecond. */
  slowest: 2,
  fastest: 2_000,
};

const THOUSAND = 1_000;

/**
 * How fast prompts are read: all tokens that were read over all the time that it took, the newest in
 * full.
 *
 * What goes wrong without it: an engine that reads twice as fast as believed seems to have twice the
 * work that it has. All engines but one are taken to be needed for reading, and the answers crowd at
 * the last. Nothing on the wire tells the rate.
 *
 * Why a ratio of sums: prompts are read in pieces, several in one step, so that the time of one
 * alone says little: the next may seem to take none. What one has too little, the other has too much.
 */
export class ReadRate {
  private tokens = 0;

  private time: Milliseconds = 0;

  /** Tokens that the first rate counts for, less the more was read. */
  private trust = rateOptions.trust;

  /** @param prior - the rate before anything is known of this engine itself */
  constructor(private readonly prior: () => number = () => rateOptions.first) {}

  /**
   * A prompt was read.
   *
   * @param tokens - that were read
   * @param time - since the engine could begin with it
   */
  note(tokens: number, time: Milliseconds): void {
    const kept = rateOptions.keptPerThousand ** (tokens / THOUSAND);
    this.tokens = this.tokens * kept + tokens;
    this.time = this.time * kept + Math.max(0, time);
    this.trust *= kept;
  }

  /** Tokens a millisecond. */
  get value(): number {
    const { slowest, fastest } = rateOptions;
    const time = this.time + this.trust / this.prior();
    const rate = (this.tokens + this.trust) / time;
    return Math.min(fastest, Math.max(slowest, rate));
  }
}
