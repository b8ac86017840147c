import { createParser } from 'eventsource-parser';
import type { EventSourceMessage } from 'eventsource-parser';
import type { ChatChunk, ChatListener } from '../ChatChunk.js';

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

  private whole = false;

  private fault: string | undefined;

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
    return this.whole;
  }

  /** What is wrong with the stream, if it must be given up before its end. */
  getFault(): string | undefined {
    return this.fault;
  }

  /** The index of the token that comes next. */
  getNextIndex(): number {
    return this.nextIndex;
  }

  private handleEvent({ data, id }: EventSourceMessage): void {
    if (this.whole || this.fault !== undefined) {
      return;
    }
    if (data === END_OF_STREAM) {
      // The end mark has no name: before the closing chunk it is another answer's.
      this.whole = this.finished;
      return;
    }
    const chunk = this.parse(data);
    if (chunk !== undefined) {
      this.handleChunk(chunk, data, id);
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
      this.fault = 'a chunk is not JSON';
    }
    return undefined;
  }

  /**
   * An event with an id is a token, whatever its text: an engine gives a token without text when
   * a character is not complete yet. One without an id and without text only opens the answer.
   */
  private handleChunk(chunk: ChatChunk, text: string, eventId: string | undefined): void {
    const choice = chunk.choices?.[0];
    if (eventId !== undefined || choice?.delta?.content) {
      this.handleToken(chunk, text, eventId);
    }
    if (typeof choice?.finish_reason === 'string' && this.fault === undefined) {
      this.finished = true;
      this.listener.onFinish(chunk);
    }
  }

  private handleToken(chunk: ChatChunk, text: string, eventId: string | undefined): void {
    const index = eventId === undefined ? this.nextIndex : Number(eventId);
    if (index < this.nextIndex) {
      this.listener.onStray(`token ${index} again`);
      return;
    }
    if (index !== this.nextIndex) {
      this.fault = `token ${this.nextIndex} is missing before token ${eventId}`;
      return;
    }
    if (this.finished) {
      this.fault = `token ${index} after the closing chunk`;
      return;
    }
    this.nextIndex += 1;
    this.listener.onToken({ chunk, text });
  }
}
