import { getExpectedTokens } from '@apricotrill/standins';
import { request } from 'undici';
import type { Dispatcher } from 'undici';
import { getMessages } from './chat.js';
import type { ChatAnswer } from './chat.js';
import { API_KEY, MODEL } from './Deployment.js';

/** The response to a plain call or to a chat completion without streaming. */
export interface CallAnswer<Body> {
  status: number;
  retryAfter?: string;
  body: Body;
}

export type Problem = NonNullable<ChatAnswer['problem']>;

/**
 * Creates a chat request whose answer has at least this many tokens, and returns it with the
 * expected answer.
 */
export function createChat(
  port: number,
  minTokens: number,
  maxTokens = 2 * minTokens,
  topic = 'posters on matte paper',
) {
  for (let turn = 0; ; turn += 1) {
    const prompt = `Quote ${turn} ${topic}.`;
    const expected = getExpectedTokens(MODEL, getMessages(prompt), maxTokens);
    if (expected.length >= minTokens) {
      return { chatRequest: { port, apiKey: API_KEY, model: MODEL, prompt, maxTokens }, expected };
    }
  }
}

type ChatRequest = ReturnType<typeof createChat>['chatRequest'];

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

/** Requests a chat completion without streaming. */
export function askWholeChat(chatRequest: ChatRequest, signal?: AbortSignal) {
  const { port, model, prompt, maxTokens } = chatRequest;
  const body = { model, messages: getMessages(prompt), max_tokens: maxTokens };
  return send<{ choices: { message: { content: string } }[] } & Partial<Problem>>(
    `http://127.0.0.1:${port}/v1/chat/completions`,
    { method: 'POST', body: JSON.stringify(body), signal },
  );
}

/** The response body of the plain service's stand-in, or a problem. */
type PortalBody = { run?: number; echo?: string; requestId?: string } & Partial<Problem>;

/** The header that requests the `hasty` class. */
export const HASTY = { 'x-apricotrill-class': 'hasty' };

interface CallOptions {
  signal?: AbortSignal;
  headers?: Record<string, string>;
}

/** Checks an artwork's status, which is repeatable. */
export function checkArtwork(port: number, artwork: string, options: CallOptions = {}) {
  const url = `http://127.0.0.1:${port}/services/portal/artwork/${artwork}`;
  return send<PortalBody>(url, { method: 'GET', ...options });
}

/** Places a hold, which is not repeatable. */
export function placeHold(port: number, key: string, options: CallOptions = {}) {
  const headers = { 'idempotency-key': key, ...options.headers };
  return send<PortalBody>(`http://127.0.0.1:${port}/services/portal/holds`, {
    method: 'POST',
    ...options,
    headers,
    body: JSON.stringify({ hold: key }),
  });
}
