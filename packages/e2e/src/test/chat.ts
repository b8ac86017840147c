import { createParser } from 'eventsource-parser';
import { request } from 'undici';

/** What a caller of the chat interface got. */
export interface ChatAnswer {
  status: number;
  requestId?: string;
  tokens: string[];
  whole: boolean;
  problem?: { outcome: string; type: string; retryAfter?: number };
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

interface ChatEvent {
  error?: ChatAnswer['problem'];
  choices?: { delta: { content?: string } }[];
}

/** Collects the events of one answer. */
class AnswerReader {
  readonly tokens: string[] = [];

  whole = false;

  problem: ChatAnswer['problem'];

  private readonly onToken: ChatOrder['onToken'];

  constructor(onToken: ChatOrder['onToken']) {
    this.onToken = onToken;
  }

  take(data: string): void {
    if (data === '[DONE]') {
      this.whole = true;
      return;
    }
    const event = JSON.parse(data) as ChatEvent;
    this.problem = event.error ?? this.problem;
    const text = event.choices?.[0]?.delta.content;
    if (text !== undefined && text !== '') {
      this.tokens.push(text);
      this.onToken?.(this.tokens.length);
    }
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
  const status = response.statusCode;
  const retryAfter = response.headers['retry-after'] as string | undefined;
  const requestId = response.headers['x-request-id'] as string | undefined;
  if (status !== 200) {
    const problem = (await response.body.json()) as ChatAnswer['problem'];
    return { status, requestId, tokens: [], whole: false, problem, retryAfter };
  }
  const reader = new AnswerReader(order.onToken);
  const parser = createParser({ onEvent: ({ data }) => reader.take(data) });
  const decoder = new TextDecoder();
  for await (const bytes of response.body) {
    parser.feed(decoder.decode(bytes as Uint8Array, { stream: true }));
  }
  const { tokens, whole, problem } = reader;
  return { status, requestId, tokens, whole, problem, retryAfter };
}
