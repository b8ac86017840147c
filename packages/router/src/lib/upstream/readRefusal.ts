import { AttemptEnd } from '@apricotrill/policy';
import type { Dispatcher } from 'undici';
import type { AttemptResult } from './Attempt.js';

const MILLISECONDS_PER_SECOND = 1000;

/** Bytes of an error answer that go into the log. */
const MAX_DETAIL = 300;

/**
 * Understands an answer that is not a success. Only the documented refusal (`x-outcome: not-run`)
 * proves that nothing ran; any other status is the replica's own failure.
 *
 * @param response - the replica's answer
 * @example
 * ```ts
 * if (response.statusCode >= 400) return readRefusal(response);
 * ```
 * @internal
 */
export async function readRefusal(response: Dispatcher.ResponseData): Promise<AttemptResult> {
  const { headers, statusCode } = response;
  const text = await response.body.text();
  const refused = headers['x-outcome'] === 'not-run';
  const retryAfter = Number(headers['retry-after']);
  return {
    end: refused ? AttemptEnd.Refused : AttemptEnd.Errored,
    status: statusCode,
    retryAfter: Number.isFinite(retryAfter) ? retryAfter * MILLISECONDS_PER_SECOND : undefined,
    leaving: headers['x-leaving'] === 'true',
    detail: `status ${statusCode}: ${text.slice(0, MAX_DETAIL)}`,
  };
}
