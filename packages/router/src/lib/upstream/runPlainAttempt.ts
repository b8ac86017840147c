import { AttemptEnd } from '@apricotrill/policy';
import type { Clock } from '@apricotrill/utils';
import type { Dispatcher } from 'undici';
import { routerOptions } from '../options.js';
import { getAttemptName } from './Attempt.js';
import type { Attempt, AttemptResult, LoadListener } from './Attempt.js';
import { parseLoad } from './parseLoad.js';
import { readRefusal } from './readRefusal.js';
import { runGuarded } from './runGuarded.js';

/**
 * A whole answer of a plain service.
 *
 * @internal
 */
export interface PlainAnswer {
  status: number;
  contentType: string;
  body: Buffer;
}

/**
 * What a plain attempt needs.
 *
 * @internal
 */
export interface PlainAttempt extends Attempt {
  method: string;
  path: string;
  headers: Record<string, string>;
  body: Buffer;
  onAnswer: (answer: PlainAnswer) => void;
  onLoad: LoadListener;
}

/** Statuses from here on say that the service itself failed. */
const SERVER_ERROR = 500;

function isOwnAnswer(attempt: PlainAttempt, response: Dispatcher.ResponseData): boolean {
  const name = response.headers['x-request-id'];
  return name === undefined || name === getAttemptName(attempt);
}

/** Reads the answer within the size that is relayed; undefined when it is larger. */
async function readAnswer(response: Dispatcher.ResponseData): Promise<Buffer | undefined> {
  const chunks: Uint8Array[] = [];
  let size = 0;
  for await (const chunk of response.body) {
    size += (chunk as Uint8Array).length;
    if (size > routerOptions.maxPlainAnswer) {
      return undefined;
    }
    chunks.push(chunk as Uint8Array);
  }
  return Buffer.concat(chunks);
}

async function exchange(
  dispatcher: Dispatcher,
  attempt: PlainAttempt,
  signal: AbortSignal,
): Promise<AttemptResult> {
  const { method, path, body } = attempt;
  const response = await dispatcher.request({
    method,
    path,
    headers: { ...attempt.headers, 'x-request-id': getAttemptName(attempt) },
    body: body.length > 0 ? body : null,
    signal,
  });
  const load = parseLoad(attempt.replica.id, response.headers['x-load']);
  if (load !== undefined) {
    attempt.onLoad(load);
  }
  if (!isOwnAnswer(attempt, response)) {
    await response.body.dump();
    return { end: AttemptEnd.Broken, detail: 'the answer belongs to another request' };
  }
  if (response.headers['x-outcome'] === 'not-run' || response.statusCode >= SERVER_ERROR) {
    return readRefusal(response);
  }
  const answer = await readAnswer(response);
  if (answer === undefined) {
    return { end: AttemptEnd.Errored, detail: 'the answer is too large' };
  }
  const contentType = String(response.headers['content-type'] ?? 'application/octet-stream');
  attempt.onAnswer({ status: response.statusCode, contentType, body: answer });
  return { end: AttemptEnd.Completed, status: response.statusCode, detail: 'whole' };
}

/**
 * Runs one attempt of a plain call and hands over its answer once it is whole. The whole answer is
 * held back until then, so that a connection that breaks half-way costs a retry, not half an answer.
 *
 * @param dispatcher - the connection to the replica
 * @param attempt - what to send and whom to tell
 * @param clock - where time comes from
 * @returns how it ended; it never throws
 * @example
 * ```ts
 * const result = await runPlainAttempt(connections.createFresh(replica), attempt, clock);
 * ```
 * @internal
 */
export function runPlainAttempt(
  dispatcher: Dispatcher,
  attempt: PlainAttempt,
  clock: Clock,
): Promise<AttemptResult> {
  return runGuarded(attempt, clock, (_guard, signal) => exchange(dispatcher, attempt, signal));
}
