import { createParser } from 'eventsource-parser';
import type { EventSourceMessage } from 'eventsource-parser';
import { StringDecoder } from 'node:string_decoder';
import type { ChatChunk, ChatListener, ChatToken } from '../ChatChunk.js';

const END_OF_STREAM = '[DONE]';

/** Contained in every chunk but the last; can't occur in a token's text, where quotes are escaped. */
const UNFINISHED_MARKER = '"finish_reason":null';

/**
 * Parses the byte stream of one attempt into the tokens of one response.
 *
 * A response can arrive late, mixed with another one, or repeat tokens that were delivered before the
 * attempt resumed. Each chunk carries the id of its attempt and each event its token index. Whatever
 * doesn't match is dropped, so that no token of another request is delivered, and no token is
 * delivered twice or skipped.
 *
 * @internal
 */
export class ChatStreamReader {
  private readonly parser = createParser({ onEvent: (event) => this.handleEvent(event) });

  private readonly decoder = new StringDecoder('utf8');

  private readonly attemptId: string;

  /** The start of each chunk of this attempt, in the usual serialization of engines. */
  private readonly chunkPrefix: string;

  private readonly listener: ChatListener;

  private nextIndex: number;

  private hasFinishChunk = false;

  private isStreamComplete = false;

  private fault: string | undefined;

  /**
   * @param attemptId - the id that every chunk of this attempt carries
   * @param nextIndex - the index of the first token not yet delivered
   * @param listener - the request that owns the attempt
   */
  constructor(attemptId: string, nextIndex: number, listener: ChatListener) {
    this.attemptId = attemptId;
    this.chunkPrefix = `{"id":${JSON.stringify(attemptId)},`;
    this.nextIndex = nextIndex;
    this.listener = listener;
  }

  /** Parses the next bytes of the stream. */
  feed(bytes: Buffer): void {
    this.parser.feed(this.decoder.write(bytes));
  }

  /** Whether the final chunk and `[DONE]` have arrived, with no token missing. */
  isComplete(): boolean {
    return this.isStreamComplete;
  }

  /** Returns the fault because of which the stream must be abandoned, if any. */
  getFault(): string | undefined {
    return this.fault;
  }

  /** Returns the index of the next expected token. */
  getNextIndex(): number {
    return this.nextIndex;
  }

  private handleEvent({ data, id }: EventSourceMessage): void {
    if (this.isStreamComplete || this.fault !== undefined) {
      return;
    }
    if (data === END_OF_STREAM) {
      // `[DONE]` carries no id: before the final chunk it belongs to another response.
      this.isStreamComplete = this.hasFinishChunk;
      return;
    }
    if (id !== undefined && this.listener.acceptsRawTokens && this.canForwardRaw(data)) {
      this.handleToken({ kind: 'tail', tail: data.slice(this.chunkPrefix.length) }, id);
      return;
    }
    const chunk = this.parse(data);
    if (chunk !== undefined) {
      this.handleChunk(chunk, id);
    }
  }

  /**
   * Whether the text is a chunk of this attempt, but not the last, that can be forwarded unparsed.
   * Parsing it would cost as much as all other processing of a token. Anything that looks different is
   * parsed.
   */
  private canForwardRaw(data: string): boolean {
    return (
      data.startsWith(this.chunkPrefix) &&
      data.endsWith('}') &&
      data.includes(UNFINISHED_MARKER) &&
      !data.includes('\n')
    );
  }

  private parse(data: string): ChatChunk | undefined {
    try {
      const chunk = JSON.parse(data) as ChatChunk;
      if (chunk.id === this.attemptId) {
        return chunk;
      }
      this.listener.onDropped(`chunk of ${chunk.id}`);
    } catch {
      this.fault = 'a chunk is not valid JSON';
    }
    return undefined;
  }

  /**
   * An event with an id is a token, even without text: an engine sends a token without text when a
   * character is not complete yet. An event with neither id nor text only starts the response.
   */
  private handleChunk(chunk: ChatChunk, eventId: string | undefined): void {
    const choice = chunk.choices?.[0];
    if (eventId !== undefined || choice?.delta?.content) {
      this.handleToken({ kind: 'chunk', chunk }, eventId);
    }
    if (typeof choice?.finish_reason === 'string' && this.fault === undefined) {
      this.hasFinishChunk = true;
      this.listener.onFinish(chunk);
    }
  }

  private handleToken(token: ChatToken, eventId: string | undefined): void {
    const index = eventId === undefined ? this.nextIndex : Number(eventId);
    if (index < this.nextIndex) {
      this.listener.onDropped(`repeated token ${index}`);
      return;
    }
    if (index !== this.nextIndex) {
      this.fault = `token ${this.nextIndex} is missing before token ${eventId}`;
      return;
    }
    if (this.hasFinishChunk) {
      this.fault = `token ${index} after the final chunk`;
      return;
    }
    this.nextIndex += 1;
    this.listener.onToken(token);
  }
}
