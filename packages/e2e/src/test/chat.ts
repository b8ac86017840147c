import { createParser } from 'eventsource-parser';
import { request } from 'undici';

/** What a caller of the chat interface got. */
export interface ChatAnswer {
  status: number;
  tokens: string[];
  whole: boolean;
  problem?: { outcome: string; type: string };
  retryAfter?: string;
}

interface ChatOrder {
  port: number;
  apiKey: string;
  model: string;
  prompt: string;
  maxTokens: number;
  /** Called on each token, so that a test can act in the middle of the answer. */
  onToken?: (count: number) => void;
  signal?: AbortSignal;
  headers?: Record<string, string>;
}

/** The messages a prompt is sent as. */
export function getMessages(prompt: string) {
  return [{ role: 'user', content: prompt }];
}

function readEvent(answer: ChatAnswer, data: string, onToken?: (count: number) => void): void {
  if (data === '[DONE]') {
    answer.whole = true;
    return;
  }
  const value = JSON.parse(data) as {
    error?: { outcome: string; type: string };
    choices?: { delta: { content?: string } }[];
  };
  answer.problem = value.error ?? answer.problem;
  const text = value.choices?.[0]?.delta.content;
  if (text !== undefined && text !== '') {
    answer.tokens.push(text);
    onToken?.(answer.tokens.length);
  }
}

/** Asks for a streamed chat completion and reads it to its end. */
export async function askChat(order: ChatOrder): Promise<ChatAnswer> {
  const response = await request(`http://127.0.0.1:${order.port}/v1/chat/completions`, {
    method: 'POST',
    headers: {
      'content-type': 'application/json',
      authorization: `Bearer ${order.apiKey}`,
      ...order.headers,
    },
    body: JSON.stringify({
      model: order.model,
      messages: getMessages(order.prompt),
      max_tokens: order.maxTokens,
      stream: true,
    }),
    signal: order.signal,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  const answer: ChatAnswer = { status: response.statusCode, tokens: [], whole: false };
  answer.retryAfter = response.headers['retry-after'] as string | undefined;
  if (response.statusCode !== 200) {
    answer.problem = (await response.body.json()) as { outcome: string; type: string };
    return answer;
  }
  const parser = createParser({ onEvent: ({ data }) => readEvent(answer, data, order.onToken) });
  const decoder = new TextDecoder();
  for await (const bytes of response.body) {
    parser.feed(decoder.decode(bytes as Uint8Array, { stream: true }));
  }
  return answer;
}
