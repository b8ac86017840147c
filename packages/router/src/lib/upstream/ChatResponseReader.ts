import { AttemptStatus } from '@apricotrill/policy';
import type { AnswerFlow, AnswerHead, AnswerReader } from './ResponseReader.js';
import type { AttemptResult } from './Attempt.js';
import type { ChatListener } from './ChatChunk.js';
import { ChatStreamReader } from './ChatStreamReader/ChatStreamReader.js';
import { FailureReader } from './ErrorResponseReader.js';

const OK = 200;

/**
 * What a chat attempt tells the request that owns it.
 *
 * @internal
 */
export interface ChatAnswerListener extends ChatListener {
  /** The engine has taken the request. */
  onStart(): void;
  /** The tokens of one read have been handed over. */
  onRead(): void;
  /** Resolves when the caller can take more; undefined when it can now. */
  waitForCaller(): Promise<void> | undefined;
}

/**
 * Reads the streamed answer of an engine.
 *
 * @internal
 */
export class ChatAnswerReader implements AnswerReader {
  private readonly stream: ChatStreamReader;

  private readonly listener: ChatAnswerListener;

  private readonly flow: AnswerFlow;

  private failure: FailureReader | undefined;

  /**
   * @param attemptName - what every chunk of this attempt is called
   * @param resumeAt - tokens the caller already has
   * @param listener - the request that owns the attempt
   * @param flow - the connection
   */
  constructor(
    attemptName: string,
    resumeAt: number,
    listener: ChatAnswerListener,
    flow: AnswerFlow,
  ) {
    this.stream = new ChatStreamReader(attemptName, resumeAt, listener);
    this.listener = listener;
    this.flow = flow;
  }

  onHead(head: AnswerHead): AttemptResult | undefined {
    if (head.status !== OK) {
      this.failure = new FailureReader();
      return this.failure.onHead(head);
    }
    this.listener.onStart();
    return undefined;
  }

  onBody(bytes: Buffer): AttemptResult | undefined {
    if (this.failure !== undefined) {
      return this.failure.onBody(bytes);
    }
    const before = this.stream.getNextIndex();
    this.stream.feed(bytes);
    if (this.stream.getNextIndex() > before) {
      this.flow.noteProgress();
      this.listener.onRead();
    }
    return this.getEnd() ?? this.waitForCaller();
  }

  onEnd(): AttemptResult {
    return (
      this.failure?.onEnd() ??
      this.getEnd() ?? { end: AttemptStatus.Broken, detail: 'the stream ended early' }
    );
  }

  onBreak(): AttemptResult | undefined {
    return this.failure?.onBreak();
  }

  /** The answer is over with its end mark, whenever the connection ends. */
  private getEnd(): AttemptResult | undefined {
    if (this.stream.isWhole()) {
      return { end: AttemptStatus.Completed, status: OK, detail: 'whole' };
    }
    const fault = this.stream.getFault();
    return fault === undefined ? undefined : { end: AttemptStatus.Broken, detail: fault };
  }

  private waitForCaller(): undefined {
    const ready = this.listener.waitForCaller();
    if (ready !== undefined) {
      this.flow.waitFor(ready);
    }
  }
}
