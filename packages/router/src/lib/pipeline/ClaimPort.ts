import type { Milliseconds } from '@apricotrill/utils';
import type { PlainAnswer } from '../upstream/runPlainAttempt.js';

/**
 * A request that may not be repeated, as it is claimed.
 *
 * @internal
 */
export interface ClaimRequest {
  workspace: string;
  key: string;
  /** Tells the same request from another one under the same key. */
  fingerprint: string;
  requestId: string;
}

/**
 * How a granted claim ends.
 *
 * @internal
 */
export type ClaimEnd =
  /** The request ran; a repeat of the key gets this answer. */
  | { kind: 'answered'; answer: PlainAnswer }
  /** It is proved that the request did not run; the key may be claimed again. */
  | { kind: 'released' }
  /** Nobody can tell whether it ran; a repeat of the key is told so. */
  | { kind: 'unknown' };

/**
 * What the claim of a key came to.
 *
 * @internal
 */
export type ClaimVerdict =
  | { kind: 'granted'; end: (end: ClaimEnd) => void }
  | { kind: 'answered'; answer: PlainAnswer }
  /** The request ran; its answer was too long to keep. */
  | { kind: 'answer-not-kept'; status: number }
  | { kind: 'in-progress' }
  | { kind: 'mismatch' }
  | { kind: 'unknown' }
  /** `isProvedNotRun`: the key was this request's, so that no other one has run under it. */
  | { kind: 'unavailable'; retryAfter: Milliseconds; isProvedNotRun: boolean };

/**
 * Where claims are kept.
 *
 * @internal
 */
export interface ClaimPort {
  claim(request: ClaimRequest): Promise<ClaimVerdict>;
}
