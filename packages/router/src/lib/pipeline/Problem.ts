import { StepError } from '@apricotrill/utils';
import type { ExecutionOutcome } from '@apricotrill/policy';
import type { Milliseconds } from '@apricotrill/utils';

/**
 * Why a request got no answer of its own, as callers see it in `type`.
 *
 * @public
 */
export enum ProblemReason {
  Malformed = 'malformed',
  TooLarge = 'too-large',
  SlowBody = 'slow-body',
  WrongKey = 'wrong-key',
  UnknownService = 'unknown-service',
  UnknownModel = 'unknown-model',
  NoClass = 'no-class',
  KeyMissing = 'idempotency-key-missing',
  KeyReused = 'idempotency-key-reused',
  KeyInProgress = 'idempotency-key-in-progress',
  KeyDone = 'idempotency-key-done',
  NoClaim = 'claim-unavailable',
  NotReady = 'not-ready',
  GivenUp = 'given-up',
  Internal = 'internal',
}

/**
 * A problem document (RFC 9457) with a typed outcome.
 *
 * @public
 */
export interface Problem {
  reason: ProblemReason;
  status: number;
  title: string;
  detail: string;
  /** What the request is known to have done. */
  outcome: ExecutionOutcome;
  /** When asking again makes sense; absent when it never does. */
  retryAfter?: Milliseconds;
}

/**
 * A filter of the request path ends the request with this problem.
 *
 * @public
 */
export class ProblemError extends StepError {
  readonly problem: Problem;

  /**
   * @param problem - what the caller is told
   * @param context - the filter that ended the request, and the peer it was about
   */
  constructor(problem: Problem, context: { step: string; peer: string; cause?: unknown }) {
    super(problem.detail, context);
    this.problem = problem;
  }
}
