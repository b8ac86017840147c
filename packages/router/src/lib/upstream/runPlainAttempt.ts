import type { Clock } from '@apricotrill/utils';
import type { Dispatcher } from 'undici';
import { getAttemptName } from './Attempt.js';
import type { Attempt, AttemptResult } from './Attempt.js';
import { AttemptExchange } from './AttemptExchange/AttemptExchange.js';
import { PlainAnswerReader } from './PlainResponseReader.js';
import type { PlainAnswer } from './PlainResponseReader.js';

export type { PlainAnswer } from './PlainResponseReader.js';

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
}

/**
 * Runs one attempt of a plain call and hands over its answer once it is whole.
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
  const { method, path, headers, body } = attempt;
  const name = getAttemptName(attempt);
  const exchange = new AttemptExchange({
    attempt,
    clock,
    createReader: () => new PlainAnswerReader(name, attempt.onAnswer),
  });
  return exchange.run(dispatcher, {
    method,
    path,
    headers: { ...headers, 'x-request-id': name },
    body: body.length > 0 ? body : null,
  });
}
