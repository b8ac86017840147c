import { createParser } from 'eventsource-parser';
import type { EventSourceMessage } from 'eventsource-parser';
import { StringDecoder } from 'node:string_decoder';
import type { ChatChunk, ChatListener, ChatToken } from '../ChatChunk.js';

const END_OF_STREAM = '[DONE]';

/** What the text of a token has that is not the last; no text within it can look like that. */
const GOES_ON = '"finish_reason":null';

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

  private readonly decoder = new StringDecoder('utf8');

  private readonly attemptName: string;

  /** How the text of each chunk of this attempt begins, as engines usually write it. */
  private readonly head: string;

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
    this.head = `{"id":${JSON.stringify(attemptName)},`;
    this.nextIndex = nextIndex;
    this.listener = listener;
  }

  /** Takes the next bytes of the stream. */
  feed(bytes: Buffer): void {
    this.parser.feed(this.decoder.write(bytes));
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
    if (id !== undefined && this.listener.passesOn && this.isPlainToken(data)) {
      this.handleToken({ kind: 'tail', tail: data.slice(this.head.length) }, id);
      return;
    }
    const chunk = this.parse(data);
    if (chunk !== undefined) {
      this.handleChunk(chunk, id);
    }
  }

  /**
   * Whether the text names this attempt and is not the answer's last. Understanding it would cost
   * as much as everything else that is done for a token; whatever looks different is understood.
   */
  private isPlainToken(data: string): boolean {
    return (
      data.startsWith(this.head) &&
      data.endsWith('}') &&
      data.includes(GOES_ON) &&
      !data.includes('\n')
    );
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
  private handleChunk(chunk: ChatChunk, eventId: string | undefined): void {
    const choice = chunk.choices?.[0];
    if (eventId !== undefined || choice?.delta?.content) {
      this.handleToken({ kind: 'chunk', chunk }, eventId);
    }
    if (typeof choice?.finish_reason === 'string' && this.fault === undefined) {
      this.finished = true;
      this.listener.onFinish(chunk);
    }
  }

  private handleToken(token: ChatToken, eventId: string | undefined): void {
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
    this.listener.onToken(token);
  }
}
