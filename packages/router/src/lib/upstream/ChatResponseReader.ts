import { AttemptStatus } from '@apricotrill/policy';
import type { ResponseFlow, ResponseHead, ResponseReader } from './ResponseReader.js';
import type { AttemptResult } from './Attempt.js';
import type { ChatListener } from './ChatChunk.js';
import { ChatStreamReader } from './ChatStreamReader/ChatStreamReader.js';
import { ErrorResponseReader } from './ErrorResponseReader.js';

const HTTP_OK = 200;

/**
 * Receives the events of a chat attempt; implemented by the request that owns it.
 *
 * @internal
 */
export interface ChatResponseListener extends ChatListener {
  /** The engine has accepted the request. */
  onStart(): void;
  /** All tokens of one read have been passed to `onToken`. */
  onTokensRead(): void;
  /** Resolves when the caller can accept more; undefined if it can now. */
  waitForCaller(): Promise<void> | undefined;
}

/**
 * Reads the streamed response of an engine.
 *
 * @internal
 */
export class ChatResponseReader implements ResponseReader {
  private readonly stream: ChatStreamReader;

  private readonly listener: ChatResponseListener;

  private readonly flow: ResponseFlow;

  private errorReader: ErrorResponseReader | undefined;

  private isWaitingForCaller = false;

  /**
   * @param attemptId - the id that every chunk of this attempt carries
   * @param resumeAt - the number of tokens already delivered to the caller
   * @param listener - the request that owns the attempt
   * @param flow - flow control of the connection
   */
  constructor(
    attemptId: string,
    resumeAt: number,
    listener: ChatResponseListener,
    flow: ResponseFlow,
  ) {
    this.stream = new ChatStreamReader(attemptId, resumeAt, listener);
    this.listener = listener;
    this.flow = flow;
  }

  onHead(head: ResponseHead): AttemptResult | undefined {
    if (head.status !== HTTP_OK) {
      this.errorReader = new ErrorResponseReader();
      return this.errorReader.onHead(head);
    }
    this.listener.onStart();
    return undefined;
  }

  onBody(bytes: Buffer): AttemptResult | undefined {
    if (this.errorReader !== undefined) {
      return this.errorReader.onBody(bytes);
    }
    const before = this.stream.getNextIndex();
    this.stream.feed(bytes);
    if (this.stream.getNextIndex() > before) {
      this.flow.recordProgress();
      this.listener.onTokensRead();
    }
    return this.getStreamResult() ?? this.waitForCaller();
  }

  onEnd(): AttemptResult {
    return (
      this.errorReader?.onEnd() ??
      this.getStreamResult() ?? {
        end: AttemptStatus.Broken,
        detail: 'the stream ended before the response was complete',
      }
    );
  }

  onConnectionLost(): AttemptResult | undefined {
    return this.errorReader?.onConnectionLost();
  }

  /** The response ends with its `[DONE]` event, regardless of when the connection closes. */
  private getStreamResult(): AttemptResult | undefined {
    if (this.stream.isComplete()) {
      return { end: AttemptStatus.Completed, status: HTTP_OK, detail: 'whole' };
    }
    const fault = this.stream.getFault();
    return fault === undefined ? undefined : { end: AttemptStatus.Broken, detail: fault };
  }

  private waitForCaller(): undefined {
    if (this.isWaitingForCaller) {
      return;
    }
    const ready = this.listener.waitForCaller();
    if (ready !== undefined) {
      this.isWaitingForCaller = true;
      this.flow.pauseUntil(
        ready.then(() => {
          this.isWaitingForCaller = false;
        }),
      );
    }
  }
}
