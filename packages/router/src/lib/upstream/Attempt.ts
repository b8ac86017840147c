import type { AttemptStatus, LoadReport } from '@apricotrill/policy';
import type { Replica } from '@apricotrill/model';
import type { Milliseconds } from '@apricotrill/utils';
import type { Dispatcher } from 'undici';

/**
 * One try of a request at one replica.
 *
 * @internal
 */
export interface Attempt {
  requestId: string;
  number: number;
  replica: Replica;
  /** Silence allowed until the first token (or the whole plain answer). */
  firstTokenTimeout: Milliseconds;
  /** Silence allowed between tokens. */
  tokenGapTimeout: Milliseconds;
  signal: AbortSignal;
  onLoad: LoadListener;
}

/**
 * How an attempt ended, and what its answer said beside the answer itself.
 *
 * @internal
 */
export interface AttemptResult {
  end: AttemptStatus;
  /** The replica's status, when it answered. */
  status?: number;
  retryAfter?: Milliseconds;
  /** The replica says that it is leaving. */
  leaving?: boolean;
  /** These connections carried the request and then nothing came in time: they are suspect. */
  silent?: Dispatcher;
  detail: string;
}

/**
 * What a replica says about itself along with an answer.
 *
 * @internal
 */
export type LoadListener = (report: LoadReport) => void;

/**
 * The name an attempt goes by upstream; every chunk of its answer carries it, so that what arrives
 * from another attempt or request is recognised and dropped.
 *
 * @example
 * ```ts
 * headers['x-request-id'] = getAttemptName(attempt);
 * ```
 * @internal
 */
export function getAttemptName(attempt: Pick<Attempt, 'requestId' | 'number'>): string {
  return `${attempt.requestId}/${attempt.number}`;
}
