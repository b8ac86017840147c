import type { Milliseconds } from '@apricotrill/utils';
import type { PlainResponse } from '../upstream/runPlainAttempt.js';

/**
 * The claim of a non-repeatable request.
 *
 * @internal
 */
export interface ClaimRequest {
  workspace: string;
  key: string;
  /** Distinguishes different requests sent with the same key. */
  fingerprint: string;
  requestId: string;
}

/**
 * How a granted claim ends.
 *
 * @internal
 */
export type ClaimEnd =
  /** The request ran; later requests with the same key get this response. */
  | { kind: 'answered'; answer: PlainResponse }
  /** The request is proved not to have run; the key may be claimed again. */
  | { kind: 'released' }
  /** It is unknown whether the request ran; later requests with the same key are told so. */
  | { kind: 'unknown' };

/**
 * The result of claiming a key.
 *
 * @internal
 */
export type ClaimVerdict =
  | { kind: 'granted'; end: (end: ClaimEnd) => void }
  | { kind: 'answered'; answer: PlainResponse }
  /** The request ran, but its response was too large to store. */
  | { kind: 'answer-not-kept'; status: number }
  | { kind: 'in-progress' }
  | { kind: 'mismatch' }
  | { kind: 'unknown' }
  /** `isProvedNotRun`: this request held the key, so no other request with it can have run. */
  | { kind: 'unavailable'; retryAfter: Milliseconds; isProvedNotRun: boolean };

/**
 * The claim service as the request path uses it.
 *
 * @internal
 */
export interface ClaimPort {
  claim(request: ClaimRequest): Promise<ClaimVerdict>;
}
