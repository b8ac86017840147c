import { ExecutionOutcome } from '@apricotrill/policy';
import { exhaustiveSwitchError } from '@apricotrill/utils';
import type { Clock, Milliseconds } from '@apricotrill/utils';
import { createHash } from 'node:crypto';
import type { DecisionLog } from '../observe/DecisionLog.js';
import { routerOptions } from '../options.js';
import type { PlainAnswer } from '../upstream/runPlainAttempt.js';
import type { ClaimEnd, ClaimPort, ClaimRequest, ClaimVerdict } from './ClaimPort.js';
import { ProblemError, ProblemReason } from './Problem.js';
import type { Problem } from './Problem.js';

/** The longest key that is taken, in characters. */
const MAX_KEY_LENGTH = 255;

/**
 * What the claim filter lets through: the right to run, or the answer of the run before.
 *
 * @internal
 */
export type ClaimPass =
  { kind: 'run'; end: (end: ClaimEnd) => void } | { kind: 'answered'; answer: PlainAnswer };

type Unavailable = Extract<ClaimVerdict, { kind: 'unavailable' }>;

const TITLE = 'The request may not be repeated';

function createClaimError(problem: Omit<Problem, 'title'>): ProblemError {
  return new ProblemError({ ...problem, title: TITLE }, { step: 'claim', peer: 'claims' });
}

/**
 * Reads the key of a request that may not be repeated.
 *
 * @param header - the `Idempotency-Key` header
 * @throws ProblemError 400 without a usable key: a repeat could not be told from a new request
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
 * What tells one request from another under the same key.
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
 * This request was not run, and an earlier one of the key may be running: a caller that is told "not
 * run" places the order again under a new key, and has two. So that is said only where it is proved.
 */
function getUnavailable({ retryAfter, isProvedNotRun }: Unavailable): Problem {
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

function getRefusal(verdict: Exclude<ClaimVerdict, { kind: 'granted' | 'answered' }>): Problem {
  switch (verdict.kind) {
    case 'in-progress':
      return {
        reason: ProblemReason.KeyInProgress,
        status: 409,
        title: TITLE,
        detail: 'a request with this key is running; ask again for its answer',
        outcome: ExecutionOutcome.Unknown,
        retryAfter: routerOptions.inProgressRetryAfter,
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
      return getUnavailable(verdict);
    default:
      throw exhaustiveSwitchError(verdict);
  }
}

/** What a claim needs around it. */
interface ClaimSurroundings {
  clock: Clock;
  /** How long the claim may take. */
  patience: Milliseconds;
  log: DecisionLog;
}

/**
 * Asks for the claim, for a bounded time. What comes later comes for nobody: a key granted then is
 * given back, since nothing was sent for it, and the caller may ask again with it.
 */
function getVerdict(
  claims: ClaimPort,
  request: ClaimRequest,
  { clock, patience, log }: ClaimSurroundings,
): Promise<ClaimVerdict> {
  const { requestId, key } = request;
  return new Promise((resolve) => {
    const retryAfter = routerOptions.claimRetryAfter;
    const unavailable = { kind: 'unavailable', retryAfter, isProvedNotRun: false } as const;
    let late = false;
    const timer = clock.setTimer(patience, () => {
      late = true;
      log('claim', { request: requestId, key, event: 'no-verdict', after: patience });
      resolve(unavailable);
    });
    claims.claim(request).then(
      (verdict) => {
        timer.cancel();
        if (late && verdict.kind === 'granted') {
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
 * The filter that lets a request which may not be repeated run at most once, whichever daemon its
 * caller asks again.
 *
 * @param claims - where claims are kept
 * @param request - the key and what it is for
 * @param around - how long the claim may take, and where that is logged
 * @throws ProblemError when it may not run
 * @example
 * ```ts
 * const pass = await claim(claims, { workspace, key, fingerprint, requestId }, around);
 * ```
 * @internal
 */
export async function claim(
  claims: ClaimPort,
  request: ClaimRequest,
  around: ClaimSurroundings,
): Promise<ClaimPass> {
  const verdict = await getVerdict(claims, request, around);
  switch (verdict.kind) {
    case 'granted':
      return { kind: 'run', end: verdict.end };
    case 'answered':
      return verdict;
    default:
      throw new ProblemError(getRefusal(verdict), { step: 'claim', peer: request.key });
  }
}
