import { AttemptEnd } from '@apricotrill/policy';
import type { Clock } from '@apricotrill/utils';
import type { Dispatcher } from 'undici';
import { getAttemptName } from './Attempt.js';
import type { Attempt, AttemptResult, LoadListener } from './Attempt.js';
import type { ChatListener } from './ChatChunk.js';
import { ChatStreamReader } from './ChatStreamReader.js';
import { parseLoad } from './parseLoad.js';
import { readRefusal } from './readRefusal.js';
import { runGuarded } from './runGuarded.js';
import type { SilenceGuard } from './SilenceGuard.js';

/**
 * What a chat attempt needs.
 *
 * @internal
 */
export interface ChatAttempt extends Attempt {
  /** The request body for the engine, streamed, with its priority. */
  body: string;
  /** Tokens the caller already has. */
  resumeAt: number;
  /** The engine has answered: the attempt is running. */
  onHead: () => void;
  listener: ChatListener;
  onLoad: LoadListener;
}

function getHeaders(attempt: ChatAttempt): Record<string, string> {
  const headers: Record<string, string> = {
    'content-type': 'application/json',
    accept: 'text/event-stream',
    'x-request-id': getAttemptName(attempt),
  };
  if (attempt.resumeAt > 0) {
    headers['last-event-id'] = String(attempt.resumeAt - 1);
  }
  return headers;
}

async function relay(
  attempt: ChatAttempt,
  response: Dispatcher.ResponseData,
  guard: SilenceGuard,
): Promise<AttemptResult> {
  const { listener, resumeAt } = attempt;
  const reader = new ChatStreamReader(getAttemptName(attempt), resumeAt, listener);
  for await (const bytes of response.body) {
    guard.touch(attempt.tokenGapTimeout);
    reader.feed(bytes as Uint8Array);
    if (reader.getFault() !== undefined) {
      break;
    }
    await listener.waitForCaller();
    guard.touch(attempt.tokenGapTimeout);
  }
  return reader.isWhole()
    ? { end: AttemptEnd.Completed, status: response.statusCode, detail: 'whole' }
    : { end: AttemptEnd.Broken, detail: reader.getFault() ?? 'the stream ended early' };
}

async function exchange(
  dispatcher: Dispatcher,
  attempt: ChatAttempt,
  guard: SilenceGuard,
  signal: AbortSignal,
): Promise<AttemptResult> {
  const response = await dispatcher.request({
    method: 'POST',
    path: '/v1/chat/completions',
    headers: getHeaders(attempt),
    body: attempt.body,
    signal,
  });
  const load = parseLoad(attempt.replica.id, response.headers['x-load']);
  if (load !== undefined) {
    attempt.onLoad(load);
  }
  if (response.statusCode !== 200) {
    return readRefusal(response);
  }
  attempt.onHead();
  return relay(attempt, response, guard);
}

/**
 * Runs one attempt of a chat request and tells its listener the tokens.
 *
 * @param dispatcher - the connection to the replica
 * @param attempt - what to send and whom to tell
 * @param clock - where time comes from
 * @returns how it ended; it never throws
 * @example
 * ```ts
 * const result = await runChatAttempt(connections.getShared(replica), attempt, clock);
 * ```
 * @internal
 */
export function runChatAttempt(
  dispatcher: Dispatcher,
  attempt: ChatAttempt,
  clock: Clock,
): Promise<AttemptResult> {
  return runGuarded(attempt, clock, (guard, signal) =>
    exchange(dispatcher, attempt, guard, signal),
  );
}
