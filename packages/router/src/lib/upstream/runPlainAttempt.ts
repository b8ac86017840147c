import type { Clock } from '@apricotrill/utils';
import type { Dispatcher } from 'undici';
import { getAttemptId } from './Attempt.js';
import type { Attempt, AttemptResult } from './Attempt.js';
import { AttemptExchange } from './AttemptExchange/AttemptExchange.js';
import { isReplicaAlive } from './isReplicaAlive.js';
import { PlainResponseReader } from './PlainResponseReader.js';
import type { PlainResponse } from './PlainResponseReader.js';

export type { PlainResponse } from './PlainResponseReader.js';

/**
 * Settings of {@link runPlainAttempt}.
 *
 * @internal
 */
export interface PlainAttempt extends Attempt {
  method: string;
  path: string;
  headers: Record<string, string>;
  body: Buffer;
  onResponse: (response: PlainResponse) => void;
}

/**
 * Runs one attempt of a plain request and passes on its response once it is complete.
 *
 * @param dispatcher - the connection to the replica
 * @param attempt - the request to send and the callbacks
 * @param clock - the time source
 * @returns how the attempt ended; never rejects
 * @example
 * ```ts
 * const result = await runPlainAttempt(connections.createDedicated(replica), attempt, clock);
 * ```
 * @internal
 */
export function runPlainAttempt(
  dispatcher: Dispatcher,
  attempt: PlainAttempt,
  clock: Clock,
): Promise<AttemptResult> {
  const { method, path, headers, body, replica, onResponse } = attempt;
  const attemptId = getAttemptId(attempt);
  const exchange = new AttemptExchange({
    attempt,
    clock,
    createReader: () =>
      new PlainResponseReader({
        attemptId,
        isReplicaAlive: () => isReplicaAlive(replica),
        onResponse,
      }),
  });
  return exchange.run(dispatcher, {
    method,
    path,
    headers: { ...headers, 'x-request-id': attemptId },
    body: body.length > 0 ? body : null,
  });
}
