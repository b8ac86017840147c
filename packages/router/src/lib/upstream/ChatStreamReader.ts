import { createParser } from 'eventsource-parser';
import type { EventSourceMessage } from 'eventsource-parser';
import type { ChatChunk, ChatListener } from './ChatChunk.js';

const END_OF_STREAM = '[DONE]';

/**
 * Turns the bytes of one attempt's stream into the tokens of one answer.
 *
 * An answer can arrive late, crossed with another, or repeat what a resumed attempt already
 * delivered. Each chunk names its attempt and each event its token index; whatever does not fit
 * both is dropped, so the caller's text has no token of another request, none twice, none skipped.
 *
 * @internal
 */
export class ChatStreamReader {
  private readonly parser = createParser({ onEvent: (event) => this.handleEvent(event) });

  private readonly decoder = new TextDecoder();

  private readonly attemptName: string;

  private readonly listener: ChatListener;

  private nextIndex: number;

  private finished = false;

  private done = false;

  private gap: string | undefined;

  /**
   * @param attemptName - what every chunk of this attempt is called
   * @param nextIndex - the index of the first token not yet delivered
   * @param listener - the request that owns the attempt
   */
  constructor(attemptName: string, nextIndex: number, listener: ChatListener) {
    this.attemptName = attemptName;
    this.nextIndex = nextIndex;
    this.listener = listener;
  }

  /** Takes the next bytes of the stream. */
  feed(bytes: Uint8Array): void {
    this.parser.feed(this.decoder.decode(bytes, { stream: true }));
  }

  /** Whether the answer is whole: its closing chunk and the end mark have come, no token missing. */
  isWhole(): boolean {
    return this.done && this.finished && this.gap === undefined;
  }

  /** What is wrong with the stream, if it must be given up before its end. */
  getFault(): string | undefined {
    return this.gap;
  }

  private handleEvent(event: EventSourceMessage): void {
    if (event.data === END_OF_STREAM) {
      this.done = true;
      return;
    }
    const chunk = this.parse(event.data);
    if (chunk === undefined || this.gap !== undefined) {
      return;
    }
    const [choice] = chunk.choices ?? [];
    if (typeof choice?.delta?.content === 'string' && choice.delta.content !== '') {
      this.handleToken(chunk, event.id);
    }
    if (typeof choice?.finish_reason === 'string') {
      this.finished = true;
      this.listener.onFinish(chunk);
    }
  }

  private parse(data: string): ChatChunk | undefined {
    try {
      const chunk = JSON.parse(data) as ChatChunk;
      if (chunk.id === this.attemptName) {
        return chunk;
      }
      this.listener.onStray(`chunk of ${chunk.id}`);
    } catch {
      this.gap = 'a chunk is not JSON';
    }
    return undefined;
  }

  private handleToken(chunk: ChatChunk, eventId: string | undefined): void {
    const index = eventId === undefined ? this.nextIndex : Number(eventId);
    if (index < this.nextIndex) {
      this.listener.onStray(`token ${index} again`);
      return;
    }
    if (index !== this.nextIndex) {
      this.gap = `token ${this.nextIndex} is missing before token ${eventId}`;
      return;
    }
    this.nextIndex += 1;
    this.listener.onToken(chunk, index);
  }
}
