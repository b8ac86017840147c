import { StepError } from '@apricotrill/utils';
import type { ExecutionOutcome } from '@apricotrill/policy';
import type { Milliseconds } from '@apricotrill/utils';

/**
 * Why a request failed, as callers see it in the `type` of the problem document.
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
  /** What is known about whether the request was executed. */
  outcome: ExecutionOutcome;
  /** The delay after which a retry makes sense; absent when it never does. */
  retryAfter?: Milliseconds;
}

/**
 * Thrown by a step of the request path to end the request with a problem document.
 *
 * @public
 */
export class ProblemError extends StepError {
  readonly problem: Problem;

  /**
   * @param problem - the problem sent to the caller
   * @param context - the step that ended the request, and the peer it concerns
   */
  constructor(problem: Problem, context: { step: string; peer: string; cause?: unknown }) {
    super(problem.detail, context);
    this.problem = problem;
  }
}
