import { createParser } from 'eventsource-parser';
import { randomUUID } from 'node:crypto';
import { errors, request } from 'undici';
import type { CallShape } from './getClassCalls.js';

/**
 * The result of a call, as seen by its caller.
 *
 * @internal
 */
export interface CallResult {
  isComplete: boolean;
  outcome: string;
  /** Milliseconds until the first token, or until the response of a plain call. */
  firstToken: number;
  tokens: number;
}

interface CallTarget {
  port: number;
  apiKey: string;
  prompt: string;
  onText?: (text: string) => void;
}

function createFailure(outcome: string): CallResult {
  return { isComplete: false, outcome, firstToken: Number.NaN, tokens: 0 };
}

async function makeChatCall(
  shape: Extract<CallShape, { kind: 'chat' }>,
  { port, apiKey, prompt, onText }: CallTarget,
): Promise<CallResult> {
  const start = performance.now();
  const classHeaders: Record<string, string> =
    shape.wishedClass === undefined ? {} : { 'x-apricotrill-class': shape.wishedClass };
  const response = await request(`http://127.0.0.1:${port}/v1/chat/completions`, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${apiKey}`,
      'content-type': 'application/json',
      ...classHeaders,
    },
    body: JSON.stringify({
      model: shape.model,
      messages: [{ role: 'user', content: prompt }],
      max_tokens: shape.maxTokens,
      stream: true,
    }),
  });
  if (response.statusCode !== 200) {
    const problem = (await response.body.json()) as { outcome?: string };
    return createFailure(problem.outcome ?? 'failed');
  }
  const result = { isComplete: false, outcome: 'unknown', firstToken: Number.NaN, tokens: 0 };
  const parser = createParser({
    onEvent: ({ data }) => {
      if (data === '[DONE]') {
        Object.assign(result, { isComplete: true, outcome: 'answered' });
        return;
      }
      const chunk = JSON.parse(data) as { choices?: { delta: { content?: string } }[] };
      const text = chunk.choices?.[0]?.delta.content ?? '';
      if (text !== '') {
        result.tokens += 1;
        result.firstToken = result.tokens === 1 ? performance.now() - start : result.firstToken;
        onText?.(text);
      }
    },
  });
  const decoder = new TextDecoder();
  try {
    for await (const bytes of response.body) {
      parser.feed(decoder.decode(bytes as Uint8Array, { stream: true }));
    }
  } catch (error) {
    // A stream that is given up is broken off.
    if (!(error instanceof errors.SocketError)) {
      throw error;
    }
  }
  return result;
}

async function makePlainCall(
  shape: Extract<CallShape, { kind: 'plain' }>,
  { port, apiKey, prompt }: CallTarget,
): Promise<CallResult> {
  const start = performance.now();
  const keyHeaders: Record<string, string> = shape.needsKey
    ? { 'idempotency-key': randomUUID() }
    : {};
  const response = await request(`http://127.0.0.1:${port}${shape.path}`, {
    method: shape.method as 'GET',
    headers: { authorization: `Bearer ${apiKey}`, ...keyHeaders },
    body: shape.method === 'GET' ? undefined : JSON.stringify({ prompt }),
  });
  const body = (await response.body.json()) as { outcome?: string };
  return response.statusCode === 200
    ? { isComplete: true, outcome: 'answered', firstToken: performance.now() - start, tokens: 0 }
    : createFailure(body.outcome ?? 'failed');
}

/**
 * Makes a call and reads the whole response.
 *
 * @example
 * ```ts
 * const result = await makeCall(shape, { port, apiKey, prompt });
 * ```
 * @internal
 */
export function makeCall(shape: CallShape, target: CallTarget): Promise<CallResult> {
  return shape.kind === 'chat' ? makeChatCall(shape, target) : makePlainCall(shape, target);
}
