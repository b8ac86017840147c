import { createHash } from 'node:crypto';
import { request } from 'undici';
import type { Dispatcher } from 'undici';
import { createChat } from './calls.js';
import { askChat } from './chat.js';
import { API_KEY } from './Deployment.js';
import type { CallEnd, RecordedCall } from './history.js';
import { pollUntil } from './pollUntil.js';

/** The daemon that a caller sends its request to. */
export interface EntryDaemon {
  port: number;
}

/** Options of a call. */
export interface CallOptions {
  dispatcher?: Dispatcher;
}

interface ServiceBody {
  run?: number;
  echo?: string;
  outcome?: string;
  type?: string;
}

/** The result of a call, with the Retry-After header if there was one. */
export type CallResult = RecordedCall & { retryAfter?: string };

function getEnd(status: number, body: ServiceBody, sent: string): CallEnd {
  if (status === 200) {
    const echo = createHash('sha256').update(sent).digest('hex');
    return { kind: 'answered', run: body.run, isOwn: body.echo === echo };
  }
  const { outcome = 'none', type = 'none' } = body;
  return { kind: 'refused', status, outcome, type };
}

/** Returns whether the call was answered. */
export function isAnswered({ end }: RecordedCall): boolean {
  return end.kind === 'answered';
}

/**
 * Describes a result in at most two words: for a refusal, its reason and the outcome of the
 * request.
 */
export function describeResult({ end }: RecordedCall): string {
  return end.kind === 'refused' ? `${end.type.split(':').at(-1)} ${end.outcome}` : end.kind;
}

/** The result if the claim was lost: the request may have run, and no daemon knows. */
export const LOST_CLAIM = 'claim-unavailable unknown';

/**
 * Returns whether the result of a key is final. A temporary failure, such as an owner that does not
 * respond, has the same description as a lost claim, but it carries a Retry-After header.
 */
export function isFinal(answered: CallResult): boolean {
  const isClaimLost = describeResult(answered) === LOST_CLAIM && answered.retryAfter === undefined;
  return isAnswered(answered) || isClaimLost;
}

/** A caller that records the result of each call for the history check. */
export class FleetCaller {
  readonly calls: RecordedCall[] = [];

  /** Places a hold, which is not repeatable, with a single call. */
  placeHold(entry: EntryDaemon, key: string, options: CallOptions = {}): Promise<CallResult> {
    const body = JSON.stringify({ hold: key });
    return this.send(entry, { method: 'POST', path: '/holds', key, body }, options);
  }

  /** Repeats the call until it is answered, as callers do that receive a Retry-After header. */
  placeHoldUntilAnswered(entry: EntryDaemon, key: string): Promise<CallResult> {
    return pollUntil(() => this.placeHold(entry, key), isAnswered);
  }

  /** Checks an artwork's status, which is repeatable. */
  checkArtwork(
    entry: EntryDaemon,
    artwork: string,
    options: CallOptions = {},
  ): Promise<CallResult> {
    return this.send(entry, { method: 'GET', path: `/artwork/${artwork}`, body: '' }, options);
  }

  /** Requests a streamed chat completion of at least this many tokens. */
  async chat(
    entry: EntryDaemon,
    minTokens: number,
    options: { onToken?: (count: number) => void } = {},
  ): Promise<CallResult> {
    const { chatRequest, expected } = createChat(entry.port, minTokens);
    try {
      const answer = await askChat({ ...chatRequest, ...options });
      const { requestId, status, problem, whole, tokens } = answer;
      if (!whole) {
        const { outcome = 'none', type = 'none' } = problem ?? {};
        return this.recordCall({ requestId, end: { kind: 'refused', status, outcome, type } });
      }
      const isOwn = tokens.join('') === expected.join('');
      return this.recordCall({ requestId, end: { kind: 'answered', run: undefined, isOwn } });
    } catch {
      return this.recordCall({ end: { kind: 'cut' } });
    }
  }

  private async send(
    { port }: EntryDaemon,
    call: { method: 'GET' | 'POST'; path: string; key?: string; body: string },
    { dispatcher }: CallOptions,
  ): Promise<CallResult> {
    const { method, path, key, body } = call;
    const headers = {
      authorization: `Bearer ${API_KEY}`,
      ...(key === undefined ? {} : { 'idempotency-key': key }),
    };
    const options = { method, headers, body, dispatcher, headersTimeout: 0, bodyTimeout: 0 };
    try {
      const response = await request(`http://127.0.0.1:${port}/services/portal${path}`, options);
      const requestId = response.headers['x-request-id'] as string | undefined;
      const answer = (await response.body.json()) as ServiceBody;
      const retryAfter = response.headers['retry-after'] as string | undefined;
      const end = getEnd(response.statusCode, answer, body);
      return { ...this.recordCall({ key, requestId, end }), retryAfter };
    } catch {
      return this.recordCall({ key, end: { kind: 'cut' } });
    }
  }

  private recordCall(call: RecordedCall): RecordedCall {
    this.calls.push(call);
    return call;
  }
}
