import type { Clock } from '@apricotrill/utils';
import type { Dispatcher } from 'undici';
import { getAttemptId } from './Attempt.js';
import type { Attempt, AttemptResult } from './Attempt.js';
import { AttemptExchange } from './AttemptExchange/AttemptExchange.js';
import { ChatResponseReader } from './ChatResponseReader.js';
import type { ChatResponseListener } from './ChatResponseReader.js';

/**
 * Settings of {@link runChatAttempt}.
 *
 * @internal
 */
export interface ChatAttempt extends Attempt {
  /** The request body for the engine, with streaming enabled and the priority of the attempt. */
  body: string;
  /** The number of tokens already delivered to the caller. */
  resumeAt: number;
  listener: ChatResponseListener;
}

function getHeaders(attempt: ChatAttempt): Record<string, string> {
  const headers: Record<string, string> = {
    'content-type': 'application/json',
    accept: 'text/event-stream',
    'x-request-id': getAttemptId(attempt),
  };
  if (attempt.resumeAt > 0) {
    headers['last-event-id'] = String(attempt.resumeAt - 1);
  }
  return headers;
}

/**
 * Runs one attempt of a chat request and passes its tokens to the listener.
 *
 * @param dispatcher - the connection to the replica
 * @param attempt - the request to send and the listener
 * @param clock - the time source
 * @returns how the attempt ended; never rejects
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
    createReader: (flow) => new ChatResponseReader(getAttemptId(attempt), resumeAt, listener, flow),
  });
  return exchange.run(dispatcher, {
    method: 'POST',
    path: '/v1/chat/completions',
    headers: getHeaders(attempt),
    body: attempt.body,
  });
}
