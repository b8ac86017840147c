import { createHash } from 'node:crypto';
import { request } from 'undici';
import type { Dispatcher } from 'undici';
import { createChat } from './calls.js';
import { askChat } from './chat.js';
import { API_KEY } from './Deployment.js';
import type { CallEnd, RecordedCall } from './history.js';
import { pollUntil } from './pollUntil.js';

/** Where a caller asks. */
export interface Entry {
  port: number;
}

/** Where a call goes and by which connections. */
export interface CallOptions {
  dispatcher?: Dispatcher;
}

interface PlainBody {
  run?: number;
  echo?: string;
  outcome?: string;
  type?: string;
}

/** What a caller got, with the problem of a refusal. */
export type Answered = RecordedCall & { retryAfter?: string };

function getEnd(status: number, body: PlainBody, sent: string): CallEnd {
  if (status === 200) {
    const echo = createHash('sha256').update(sent).digest('hex');
    return { kind: 'answered', run: body.run, isOwn: body.echo === echo };
  }
  const { outcome = 'none', type = 'none' } = body;
  return { kind: 'refused', status, outcome, type };
}

/** Whether the whole answer came. */
export function isAnswered({ end }: RecordedCall): boolean {
  return end.kind === 'answered';
}

/** What a caller was told in two words: the reason of a refusal and what became of the request. */
export function getWord({ end }: RecordedCall): string {
  return end.kind === 'refused' ? `${end.type.split(':').at(-1)} ${end.outcome}` : end.kind;
}

/** The request may have run, and nobody will ever tell. */
export const UNKNOWN = 'claim-unavailable unknown';

/**
 * Whether the caller was told for good what became of its key. What passes, such as an owner that
 * gives no answer, has the same word as what nobody will ever know; but it says when to ask again.
 */
export function isToldForGood(answered: Answered): boolean {
  const isLost = getWord(answered) === UNKNOWN && answered.retryAfter === undefined;
  return isAnswered(answered) || isLost;
}

/** A caller that writes down what it got for each call, for the check of the whole history. */
export class FleetCaller {
  readonly calls: RecordedCall[] = [];

  /** Places a hold, which may not be repeated: once, and whatever comes of it. */
  hold(entry: Entry, key: string, options: CallOptions = {}): Promise<Answered> {
    const body = JSON.stringify({ hold: key });
    return this.send(entry, { method: 'POST', path: '/holds', key, body }, options);
  }

  /** Asks in turn until there is an answer, as callers do that are told to ask again. */
  holdUntilAnswered(entry: Entry, key: string): Promise<Answered> {
    return pollUntil(() => this.hold(entry, key), isAnswered);
  }

  /** Checks an artwork's status, which may be repeated. */
  check(entry: Entry, artwork: string, options: CallOptions = {}): Promise<Answered> {
    return this.send(entry, { method: 'GET', path: `/artwork/${artwork}`, body: '' }, options);
  }

  /** Asks for a streamed chat completion of at least so many tokens. */
  async chat(
    entry: Entry,
    atLeast: number,
    options: { onToken?: (count: number) => void } = {},
  ): Promise<Answered> {
    const { order, expected } = createChat(entry.port, atLeast);
    try {
      const answer = await askChat({ ...order, ...options });
      const { requestId, status, problem, whole, tokens } = answer;
      if (!whole) {
        const { outcome = 'none', type = 'none' } = problem ?? {};
        return this.note({ requestId, end: { kind: 'refused', status, outcome, type } });
      }
      const isOwn = tokens.join('') === expected.join('');
      return this.note({ requestId, end: { kind: 'answered', run: undefined, isOwn } });
    } catch {
      return this.note({ end: { kind: 'cut' } });
    }
  }

  private async send(
    { port }: Entry,
    call: { method: 'GET' | 'POST'; path: string; key?: string; body: string },
    { dispatcher }: CallOptions,
  ): Promise<Answered> {
    const { method, path, key, body } = call;
    const headers = {
      authorization: `Bearer ${API_KEY}`,
      ...(key === undefined ? {} : { 'idempotency-key': key }),
    };
    const options = { method, headers, body, dispatcher, headersTimeout: 0, bodyTimeout: 0 };
    try {
      const response = await request(`http://127.0.0.1:${port}/services/portal${path}`, options);
      const requestId = response.headers['x-request-id'] as string | undefined;
      const answer = (await response.body.json()) as PlainBody;
      const retryAfter = response.headers['retry-after'] as string | undefined;
      const end = getEnd(response.statusCode, answer, body);
      return { ...this.note({ key, requestId, end }), retryAfter };
    } catch {
      return this.note({ key, end: { kind: 'cut' } });
    }
  }

  private note(call: RecordedCall): RecordedCall {
    this.calls.push(call);
    return call;
  }
}
