import { getExpectedTokens } from '@apricotrill/standins';
import { request } from 'undici';
import type { Dispatcher } from 'undici';
import { getMessages } from './chat.js';
import type { ChatAnswer } from './chat.js';
import { API_KEY, MODEL } from './Deployment.js';

/** The answer to a plain call, or to an unstreamed chat. */
export interface CallAnswer<Body> {
  status: number;
  retryAfter?: string;
  body: Body;
}

export type Problem = NonNullable<ChatAnswer['problem']>;

/** A chat whose answer has at least that many tokens, and the answer it must get. */
export function createChat(
  port: number,
  atLeast: number,
  maxTokens = 2 * atLeast,
  topic = 'posters on matte paper',
) {
  for (let turn = 0; ; turn += 1) {
    const prompt = `Quote ${turn} ${topic}.`;
    const expected = getExpectedTokens(MODEL, getMessages(prompt), maxTokens);
    if (expected.length >= atLeast) {
      return { order: { port, apiKey: API_KEY, model: MODEL, prompt, maxTokens }, expected };
    }
  }
}

type ChatOrder = ReturnType<typeof createChat>['order'];

async function send<Body>(
  url: string,
  options: Partial<Dispatcher.RequestOptions> & { signal?: AbortSignal },
): Promise<CallAnswer<Body>> {
  const { headers, ...rest } = options;
  const response = await request(url, {
    ...(rest as object),
    headers: { authorization: `Bearer ${API_KEY}`, ...(headers as Record<string, string>) },
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  return {
    status: response.statusCode,
    retryAfter: response.headers['retry-after'] as string | undefined,
    body: (await response.body.json()) as Body,
  };
}

/** Asks for a chat completion in one piece. */
export function askWholeChat(order: ChatOrder, signal?: AbortSignal) {
  const { port, model, prompt, maxTokens } = order;
  const body = { model, messages: getMessages(prompt), max_tokens: maxTokens };
  return send<{ choices: { message: { content: string } }[] } & Partial<Problem>>(
    `http://127.0.0.1:${port}/v1/chat/completions`,
    { method: 'POST', body: JSON.stringify(body), signal },
  );
}

/** What the stand-in of a plain service answers, or the problem there was. */
type PortalBody = { run?: number; echo?: string; requestId?: string } & Partial<Problem>;

/** The header by which a test asks for a hasty class. */
export const HASTY = { 'x-apricotrill-class': 'hasty' };

interface CallOptions {
  signal?: AbortSignal;
  headers?: Record<string, string>;
}

/** Checks an artwork's status: may be repeated. */
export function checkArtwork(port: number, artwork: string, options: CallOptions = {}) {
  const url = `http://127.0.0.1:${port}/services/portal/artwork/${artwork}`;
  return send<PortalBody>(url, { method: 'GET', ...options });
}

/** Places a hold: may not be repeated. */
export function placeHold(port: number, key: string, options: CallOptions = {}) {
  const headers = { 'idempotency-key': key, ...options.headers };
  return send<PortalBody>(`http://127.0.0.1:${port}/services/portal/holds`, {
    method: 'POST',
    ...options,
    headers,
    body: JSON.stringify({ hold: key }),
  });
}
