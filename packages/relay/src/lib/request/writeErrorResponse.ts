import type { Milliseconds } from '@apricotrill/utils';
import type { ServerResponse } from 'node:http';
import type { Outcome } from '../decide/messages.js';

/** An error response that the daemon itself sends, in place of a replica's response. */
export interface ErrorResponse {
  status: number;
  reason: string;
  outcome: Outcome;
  retryAfter?: Milliseconds;
  /** Explains the reason for this request. */
  detail?: string;
}

const MILLISECONDS_PER_SECOND = 1_000;

/** Writes an error response as problem details (RFC 9457), with `Retry-After` if it is known. */
export function writeErrorResponse(response: ServerResponse, error: ErrorResponse): void {
  const { status, reason, outcome, retryAfter, detail } = error;
  const body = JSON.stringify({ type: 'about:blank', status, title: reason, detail, outcome });
  response.statusCode = status;
  response.setHeader('content-type', 'application/problem+json');
  response.setHeader('content-length', Buffer.byteLength(body));
  if (retryAfter !== undefined) {
    response.setHeader('retry-after', String(retryAfter / MILLISECONDS_PER_SECOND));
  }
  response.end(body);
}
