import type { AttemptStatus, LoadReport } from '@apricotrill/policy';
import type { Replica } from '@apricotrill/model';
import type { Milliseconds } from '@apricotrill/utils';
import type { Dispatcher } from 'undici';

/**
 * One send of a request to a replica.
 *
 * @internal
 */
export interface Attempt {
  requestId: string;
  number: number;
  replica: Replica;
  /** The maximum time without data until the first token (or the complete plain response). */
  firstTokenTimeout: Milliseconds;
  /** The maximum time without data between tokens. */
  tokenGapTimeout: Milliseconds;
  signal: AbortSignal;
  onLoad: LoadListener;
}

/**
 * How an attempt ended, with the metadata of its response.
 *
 * @internal
 */
export interface AttemptResult {
  end: AttemptStatus;
  /** The HTTP status, if the replica responded. */
  status?: number;
  retryAfter?: Milliseconds;
  /** Whether the replica reported that it is leaving. */
  leaving?: boolean;
  /** The connections on which the request was sent and then timed out: they are suspect. */
  silentDispatcher?: Dispatcher;
  detail: string;
}

/**
 * Receives the load reports that replicas send with their responses.
 *
 * @internal
 */
export type LoadListener = (report: LoadReport) => void;

/**
 * Returns the id of an attempt, sent to the replica as `x-request-id`. Every chunk of its response
 * carries the id, so that data of another attempt or request is recognised and dropped.
 *
 * @example
 * ```ts
 * headers['x-request-id'] = getAttemptId(attempt);
 * ```
 * @internal
 */
export function getAttemptId(attempt: Pick<Attempt, 'requestId' | 'number'>): string {
  return `${attempt.requestId}/${attempt.number}`;
}
