import { createParser } from 'eventsource-parser';
import { request } from 'undici';
import type { Agent } from 'undici';
import { getExpectedTokens } from '@apricotrill/standins';
import type { ChatMessage } from '@apricotrill/standins';
import { getRefusal } from './askPlain.js';
import type { Answer } from './askPlain.js';
import type { CallEnd } from './CallRecord.js';

/** A streamed chat, through a daemon. */
export interface ChatCall {
  url: string;
  headers: Record<string, string>;
  model: string;
  prompt: string;
  maxTokens: number;
}

interface ChatEvent {
  error?: { type?: string };
  choices?: { delta: { content?: string } }[];
}

/** Collects the events of one answer. */
class StreamReader {
  text = '';

  tokens = 0;

  isWhole = false;

  error = 'the stream ended before its end mark';

  private readonly parser = createParser({ onEvent: ({ data }) => this.take(data) });

  private readonly decoder = new TextDecoder();

  feed(bytes: Uint8Array): void {
    this.parser.feed(this.decoder.decode(bytes, { stream: true }));
  }

  private take(data: string): void {
    if (data === '[DONE]') {
      this.isWhole = true;
      return;
    }
    const { error, choices } = JSON.parse(data) as ChatEvent;
    this.error = error?.type ?? this.error;
    const token = choices?.[0]?.delta.content ?? '';
    this.text += token;
    this.tokens += token === '' ? 0 : 1;
  }
}

function getEnd({ isWhole, text, tokens, error }: StreamReader, expected: string): CallEnd {
  return isWhole ? { kind: 'answered', isOwn: text === expected, tokens } : { kind: 'cut', error };
}

/**
 * Asks for one streamed answer, reads it to its end and compares it with what the engine gives to
 * this very request.
 *
 * @internal
 */
export async function askChat(dispatcher: Agent, call: ChatCall): Promise<Answer> {
  const { url, headers, model, prompt, maxTokens } = call;
  const messages: ChatMessage[] = [{ role: 'user', content: prompt }];
  const body = JSON.stringify({ model, messages, stream: true, max_tokens: maxTokens });
  let requestId: string | undefined;
  let hasBegun = false;
  try {
    const response = await request(url, { dispatcher, method: 'POST', headers, body });
    requestId = response.headers['x-request-id'] as string | undefined;
    if (response.statusCode !== 200) {
      return { requestId, end: getRefusal(response.statusCode, await response.body.text()) };
    }
    hasBegun = true;
    const reader = new StreamReader();
    for await (const chunk of response.body) {
      reader.feed(chunk as Uint8Array);
    }
    const expected = getExpectedTokens(model, messages, maxTokens).join('');
    return { requestId, end: getEnd(reader, expected) };
  } catch (error) {
    return { requestId, end: { kind: hasBegun ? 'cut' : 'lost', error: String(error) } };
  }
}
