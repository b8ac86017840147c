import type { Replica } from '@apricotrill/model';
import type { Milliseconds } from '@apricotrill/utils';
import type { AttemptResult, LoadListener } from '../upstream/Attempt.js';
import type { Problem } from '../pipeline/Problem.js';

/**
 * An attempt as the scheduler ordered it.
 *
 * @internal
 */
export interface OrderedAttempt {
  number: number;
  replica: Replica;
  /** Tokens the scheduler believes delivered; the work itself knows for sure. */
  resumeAt: number;
  firstTokenTimeout: Milliseconds;
  tokenGapTimeout: Milliseconds;
  /** The priority to give the engine; the tier of the class when absent. */
  priority: number | undefined;
  signal: AbortSignal;
  /** Tokens (or the plain answer) went to the caller; 0 while only the caller is waited for. */
  onProgress: (tokens: number) => void;
  onLoad: LoadListener;
}

/**
 * What one kind of request does with its attempts and its caller.
 *
 * @internal
 */
export interface RequestWork {
  /** Runs one attempt; never throws. */
  run(attempt: OrderedAttempt): Promise<AttemptResult>;
  /** Hands the caller the rest of a whole answer. */
  complete(): void;
  /** Tells the caller why there is no whole answer. */
  fail(problem: Problem): void;
  /** Tokens the caller has so far; 1 for a plain answer that was handed over. */
  getDelivered(): number;
}
