import { request } from 'undici';
import type { Agent } from 'undici';
import { StepError } from '@apricotrill/utils';
import type { Milliseconds } from '@apricotrill/utils';

/** Where and what to ask. */
export interface ChatTarget {
  origin: string;
  apiKey: string;
  model: string;
}

/** What a stream gave. */
export interface StreamReading {
  firstByte: Milliseconds;
  tokens: number;
}

const NEWLINE = 10;

/** Events beside the tokens: the closing chunk and the end mark. */
const CLOSING_EVENTS = 2;

/** Counts the events of a server-sent stream over chunks cut anywhere. */
export class EventCounter {
  events = 0;

  private lineEmpty = false;

  add(chunk: Uint8Array): void {
    for (
      let index = chunk.indexOf(NEWLINE);
      index >= 0;
      index = chunk.indexOf(NEWLINE, index + 1)
    ) {
      const adjacent = index === 0 ? this.lineEmpty : chunk[index - 1] === NEWLINE;
      if (adjacent) {
        this.events += 1;
      }
    }
    this.lineEmpty = chunk.at(-1) === NEWLINE;
  }
}

/**
 * Asks for one streamed answer and reads it to its end.
 *
 * @param onEvents - hears how many events each chunk brought, for counting while streams run
 * @throws StepError on any status but 200
 * @internal
 */
export async function streamChat(
  dispatcher: Agent,
  { origin, apiKey, model }: ChatTarget,
  { content, maxTokens }: { content: string; maxTokens: number },
  onEvents: (events: number) => void = () => {},
): Promise<StreamReading> {
  const start = performance.now();
  const { statusCode, body } = await request(`${origin}/v1/chat/completions`, {
    dispatcher,
    method: 'POST',
    headers: { 'content-type': 'application/json', authorization: `Bearer ${apiKey}` },
    body: JSON.stringify({
      model,
      messages: [{ role: 'user', content }],
      stream: true,
      max_tokens: maxTokens,
    }),
  });
  if (statusCode !== 200) {
    const text = await body.text();
    throw new StepError(`status ${statusCode}: ${text}`, { step: 'load', peer: origin });
  }
  const counter = new EventCounter();
  let firstByte = 0;
  for await (const chunk of body) {
    firstByte ||= performance.now() - start;
    const before = counter.events;
    counter.add(chunk as Uint8Array);
    onEvents(counter.events - before);
  }
  return { firstByte, tokens: counter.events - CLOSING_EVENTS };
}
