import { ExecutionOutcome } from '@apricotrill/policy';
import { exhaustiveSwitchError } from '@apricotrill/utils';
import type { Clock, Milliseconds } from '@apricotrill/utils';
import { createHash } from 'node:crypto';
import type { DecisionLog } from '../observe/DecisionLog.js';
import { defaultRouterOptions } from '../options.js';
import type { PlainResponse } from '../upstream/runPlainAttempt.js';
import type { ClaimEnd, ClaimPort, ClaimRequest, ClaimVerdict } from './ClaimPort.js';
import { ProblemError, ProblemReason } from './Problem.js';
import type { Problem } from './Problem.js';

/** The maximum length of an idempotency key, in characters. */
const MAX_KEY_LENGTH = 255;

/**
 * The result of the claim step: permission to run, or the response of an earlier run.
 *
 * @internal
 */
export type ClaimStepResult =
  { kind: 'run'; end: (end: ClaimEnd) => void } | { kind: 'answered'; answer: PlainResponse };

type UnavailableVerdict = Extract<ClaimVerdict, { kind: 'unavailable' }>;

const TITLE = 'The request may not be repeated';

function createClaimError(problem: Omit<Problem, 'title'>): ProblemError {
  return new ProblemError({ ...problem, title: TITLE }, { step: 'claim', peer: 'claims' });
}

/**
 * Reads the idempotency key of a non-repeatable request.
 *
 * @param header - the `Idempotency-Key` header
 * @throws ProblemError 400 without a valid key: a retry could not be distinguished from a new request
 * @example
 * ```ts
 * const key = readIdempotencyKey(request.headers['idempotency-key']);
 * ```
 * @internal
 */
export function readIdempotencyKey(header: string | string[] | undefined): string {
  if (typeof header === 'string' && header.length > 0 && header.length <= MAX_KEY_LENGTH) {
    return header;
  }
  throw createClaimError({
    reason: ProblemReason.KeyMissing,
    status: 400,
    detail: `send an \`Idempotency-Key\` of 1 to ${MAX_KEY_LENGTH} characters, the same for each repeat`,
    outcome: ExecutionOutcome.NotRun,
  });
}

/**
 * Computes the hash that distinguishes different requests sent with the same key.
 *
 * @example
 * ```ts
 * const fingerprint = getFingerprint('POST', '/holds', body);
 * ```
 * @internal
 */
export function getFingerprint(method: string, path: string, body: Buffer): string {
  return createHash('sha256').update(`${method} ${path}\n`).update(body).digest('hex');
}

/**
 * This request was not run, but an earlier one with the same key may be running. A caller that is
 * told "not run" sends the request again with a new key, so that it may run twice. "Not run" is
 * therefore reported only when it is proved.
 */
function getUnavailableProblem({ retryAfter, isProvedNotRun }: UnavailableVerdict): Problem {
  return {
    reason: ProblemReason.NoClaim,
    status: 503,
    title: TITLE,
    detail: isProvedNotRun
      ? 'the key could not be claimed in time'
      : 'it can not be told at the moment whether a request with this key runs; ask again with it',
    outcome: isProvedNotRun ? ExecutionOutcome.NotRun : ExecutionOutcome.Unknown,
    retryAfter,
  };
}

function getClaimProblem(
  verdict: Exclude<ClaimVerdict, { kind: 'granted' | 'answered' }>,
): Problem {
  switch (verdict.kind) {
    case 'in-progress':
      return {
        reason: ProblemReason.KeyInProgress,
        status: 409,
        title: TITLE,
        detail: 'a request with this key is running; ask again for its answer',
        outcome: ExecutionOutcome.Unknown,
        retryAfter: defaultRouterOptions.inProgressRetryAfter,
      };
    case 'answer-not-kept':
      return {
        reason: ProblemReason.KeyDone,
        status: 409,
        title: TITLE,
        detail: `the request ran and was answered with status ${verdict.status}; its answer was too long to keep`,
        outcome: ExecutionOutcome.Unknown,
      };
    case 'mismatch':
      return {
        reason: ProblemReason.KeyReused,
        status: 422,
        title: TITLE,
        detail: 'this key was used for another request; take a new key for a new request',
        outcome: ExecutionOutcome.NotRun,
      };
    case 'unknown':
      return {
        reason: ProblemReason.NoClaim,
        status: 409,
        title: TITLE,
        detail: 'a request with this key may have run; check before you ask with a new key',
        outcome: ExecutionOutcome.Unknown,
      };
    case 'unavailable':
      return getUnavailableProblem(verdict);
    default:
      throw exhaustiveSwitchError(verdict);
  }
}

/** Timeout and dependencies of a claim. */
interface ClaimOptions {
  clock: Clock;
  /** The maximum duration of the claim. */
  timeout: Milliseconds;
  log: DecisionLog;
}

/**
 * Requests the claim, with a timeout. A claim granted after the timeout is released, since nothing
 * was sent for it, so that the caller can retry with the same key.
 */
function requestVerdict(
  claims: ClaimPort,
  request: ClaimRequest,
  { clock, timeout, log }: ClaimOptions,
): Promise<ClaimVerdict> {
  const { requestId, key } = request;
  return new Promise((resolve) => {
    const retryAfter = defaultRouterOptions.claimRetryAfter;
    const unavailable = { kind: 'unavailable', retryAfter, isProvedNotRun: false } as const;
    let hasTimedOut = false;
    const timer = clock.setTimer(timeout, () => {
      hasTimedOut = true;
      log('claim', { request: requestId, key, event: 'no-verdict', after: timeout });
      resolve(unavailable);
    });
    claims.claim(request).then(
      (verdict) => {
        timer.cancel();
        if (hasTimedOut && verdict.kind === 'granted') {
          verdict.end({ kind: 'released' });
        }
        resolve(verdict);
      },
      (error: unknown) => {
        timer.cancel();
        log('claim', { request: requestId, key, event: 'failed', error: String(error) });
        resolve(unavailable);
      },
    );
  });
}

/**
 * The step of the request path that ensures a non-repeatable request runs at most once, even if its
 * caller retries at another daemon.
 *
 * @param claims - the claim service
 * @param request - the key and the request it identifies
 * @param options - the timeout of the claim, the clock and the log
 * @throws ProblemError when it may not run
 * @example
 * ```ts
 * const result = await claim(claims, { workspace, key, fingerprint, requestId }, options);
 * ```
 * @internal
 */
export async function claim(
  claims: ClaimPort,
  request: ClaimRequest,
  options: ClaimOptions,
): Promise<ClaimStepResult> {
  const verdict = await requestVerdict(claims, request, options);
  switch (verdict.kind) {
    case 'granted':
      return { kind: 'run', end: verdict.end };
    case 'answered':
      return verdict;
    default:
      throw new ProblemError(getClaimProblem(verdict), { step: 'claim', peer: request.key });
  }
}
