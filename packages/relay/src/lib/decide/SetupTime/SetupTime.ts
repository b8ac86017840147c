import type { Milliseconds } from '@apricotrill/utils';
import { quantileOf } from './getQuantile.js';

/** How the set-up time is learned. */
export const setupOptions = {
  /** Before any first token was seen. */
  first: 80 satisfies Milliseconds,
  /** How many waits the first value counts for. */
  trust: 2,
  /** So many of the last waits count. */
  most: 40,
  /** The part of the waits that is shorter: what is longer waited for others as well. */
  quantile: 0.2,
};

/** What every request waits for its first token, however little is to be read: set-up and a step. */
export class SetupTime {
  private readonly waits: Milliseconds[] = Array<number>(setupOptions.trust).fill(
    setupOptions.first,
  );

  private current: Milliseconds = setupOptions.first;

  /** @param wait - for a first token, less the time to read what was before it */
  note(wait: Milliseconds): void {
    this.waits.push(Math.max(0, wait));
    if (this.waits.length > setupOptions.most) {
      this.waits.shift();
    }
    this.current = quantileOf(this.waits, setupOptions.quantile);
  }

  get value(): Milliseconds {
    return this.current;
  }
}
