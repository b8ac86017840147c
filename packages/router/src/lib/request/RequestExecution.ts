import type { Replica } from '@apricotrill/model';
import type { Milliseconds } from '@apricotrill/utils';
import type { AttemptResult, LoadListener } from '../upstream/Attempt.js';
import type { Problem } from '../pipeline/Problem.js';

/**
 * An attempt that the scheduler has dispatched.
 *
 * @internal
 */
export interface DispatchedAttempt {
  number: number;
  replica: Replica;
  /** Tokens delivered according to the scheduler; the execution has the exact number. */
  resumeAt: number;
  firstTokenTimeout: Milliseconds;
  tokenGapTimeout: Milliseconds;
  /** The priority to send to the engine; the tier of the class when undefined. */
  priority: number | undefined;
  signal: AbortSignal;
  /** Tokens (or the plain response) were delivered; 0 while the attempt only waits for its caller. */
  onProgress: (tokens: number) => void;
  onLoad: LoadListener;
}

/**
 * Executes a request of one kind (chat or plain): runs its attempts and responds to its caller.
 *
 * @internal
 */
export interface RequestExecution {
  /** Runs one attempt; never throws. */
  run(attempt: DispatchedAttempt): Promise<AttemptResult>;
  /** Sends the caller the rest of a complete response. */
  complete(): void;
  /** Reports to the caller why there is no complete response. */
  fail(problem: Problem): void;
  /** The number of tokens delivered so far; 1 once a plain response has arrived. */
  getDeliveredTokens(): number;
}
