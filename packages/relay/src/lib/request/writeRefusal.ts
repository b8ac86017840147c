import type { Milliseconds } from '@apricotrill/utils';
import type { ServerResponse } from 'node:http';
import type { Outcome } from '../decide/messages.js';

/** An answer of the daemon's own, in place of one of a replica. */
export interface Refusal {
  status: number;
  reason: string;
  outcome: Outcome;
  retryAfter?: Milliseconds;
}

const MILLISECONDS_PER_SECOND = 1_000;

/** Writes a refusal as problem details (RFC 9457), with the time after which to ask again. */
export function writeRefusal(response: ServerResponse, refusal: Refusal): void {
  const { status, reason, outcome, retryAfter } = refusal;
  const body = JSON.stringify({ type: 'about:blank', status, title: reason, outcome });
  response.statusCode = status;
  response.setHeader('content-type', 'application/problem+json');
  response.setHeader('content-length', Buffer.byteLength(body));
  if (retryAfter !== undefined) {
    response.setHeader('retry-after', String(retryAfter / MILLISECONDS_PER_SECOND));
  }
  response.end(body);
}
