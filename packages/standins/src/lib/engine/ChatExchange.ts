import type { BackendFaultInjector } from '../backend/BackendFaultInjector.js';
import type { RunLog } from '../backend/RunLog.js';
import type { ChatResponseWriter } from './ChatResponseWriter.js';
import type { ChatRequest } from './parseChatRequest.js';

/**
 * A request that reached a slot of the engine.
 *
 * @public
 */
export interface EngineRun {
  requestId: string;
  /** The index of the first token of this attempt; above 0 if it was resumed. */
  startIndex: number;
  /** The number of tokens that this attempt generated, whether delivered or not. */
  tokens: number;
  /** Whether the attempt reached the end of the answer. */
  completed: boolean;
}

/** A request and its response, with the faults that apply to it. */
export class ChatExchange {
  private readonly run: EngineRun;

  private readonly dropAfter: number | undefined;

  private isStrayDue: boolean;

  constructor(
    readonly request: ChatRequest,
    private readonly writer: ChatResponseWriter,
    faults: BackendFaultInjector,
  ) {
    const { requestId, startIndex } = request;
    this.run = { requestId, startIndex, tokens: 0, completed: false };
    this.dropAfter = faults.consumeDrop();
    this.isStrayDue = faults.consumeStrayAnswer();
  }

  /** Records that the request reached a slot. */
  start(runs: RunLog<EngineRun>): void {
    runs.add(this.run);
  }

  /** Whether the connection has to break now. */
  isDropDue(): boolean {
    return this.run.tokens === this.dropAfter;
  }

  breakConnection(): void {
    this.writer.breakConnection();
  }

  sendToken(index: number): void {
    this.run.tokens += 1;
    this.writer.sendToken(index);
    if (this.isStrayDue) {
      this.isStrayDue = false;
      this.writer.sendStrayChunk();
    }
  }

  finish(promptTokens: number): void {
    this.run.completed = true;
    this.writer.finish(promptTokens);
  }
}
