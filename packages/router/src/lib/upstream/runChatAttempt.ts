import type { Clock } from '@apricotrill/utils';
import type { Dispatcher } from 'undici';
import { getAttemptName } from './Attempt.js';
import type { Attempt, AttemptResult } from './Attempt.js';
import { AttemptExchange } from './AttemptExchange/AttemptExchange.js';
import { ChatAnswerReader } from './ChatResponseReader.js';
import type { ChatAnswerListener } from './ChatResponseReader.js';

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
  listener: ChatAnswerListener;
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
  const { resumeAt, listener } = attempt;
  const exchange = new AttemptExchange({
    attempt,
    clock,
    createReader: (flow) => new ChatAnswerReader(getAttemptName(attempt), resumeAt, listener, flow),
  });
  return exchange.run(dispatcher, {
    method: 'POST',
    path: '/v1/chat/completions',
    headers: getHeaders(attempt),
    body: attempt.body,
  });
}
