import type { BackendFaultInjector } from '../backend/BackendFaultInjector.js';
import type { RunLog } from '../backend/RunLog.js';
import type { ChatAnswer } from './ChatResponseWriter.js';
import type { ChatRequest } from './parseChatRequest.js';

/**
 * A request that reached a slot of the engine.
 *
 * @public
 */
export interface EngineRun {
  requestId: string;
  /** The first token of this attempt: above 0 when it was resumed. */
  startIndex: number;
  /** Tokens this attempt computed, whether delivered or not. */
  tokens: number;
  /** Whether the attempt came to the end of the answer. */
  completed: boolean;
}

/** One request and its answer, with the faults that strike it. */
export class ChatExchange {
  private readonly run: EngineRun;

  private readonly dropAfter: number | undefined;

  private isStrayDue: boolean;

  constructor(
    readonly request: ChatRequest,
    private readonly answer: ChatAnswer,
    faults: BackendFaultInjector,
  ) {
    const { requestId, startIndex } = request;
    this.run = { requestId, startIndex, tokens: 0, completed: false };
    this.dropAfter = faults.takeDrop();
    this.isStrayDue = faults.takeStray();
  }

  /** Notes that the request reached a slot. */
  start(runs: RunLog<EngineRun>): void {
    runs.add(this.run);
  }

  /** Whether the connection is to break now. */
  isDropDue(): boolean {
    return this.run.tokens === this.dropAfter;
  }

  drop(): void {
    this.answer.drop();
  }

  giveToken(index: number): void {
    this.run.tokens += 1;
    this.answer.token(index);
    if (this.isStrayDue) {
      this.isStrayDue = false;
      this.answer.stray();
    }
  }

  finish(promptTokens: number): void {
    this.run.completed = true;
    this.answer.finish(promptTokens);
  }
}
