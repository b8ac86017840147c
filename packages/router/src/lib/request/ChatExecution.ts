import type { Clock } from '@apricotrill/utils';
import type { ServerResponse } from 'node:http';
import type { Problem } from '../pipeline/Problem.js';
import type { AttemptResult } from '../upstream/Attempt.js';
import type { ChatResponseListener } from '../upstream/ChatResponseReader.js';
import type { ChatChunk, ChatToken } from '../upstream/ChatChunk.js';
import type { ReplicaConnections } from '../upstream/ReplicaConnections.js';
import { runChatAttempt } from '../upstream/runChatAttempt.js';
import type { ChatSink } from './ChatSink.js';
import type { EngineRequestBody } from './EngineRequestBody.js';
import type { DispatchedAttempt, RequestExecution } from './RequestExecution.js';
import { waitForCaller } from './waitForCaller/waitForCaller.js';

/** How many times per maximum inter-token pause a slow caller is reported to the scheduler. */
const REPORTS_PER_GAP = 3;

/**
 * Settings of a {@link ChatExecution}.
 *
 * @internal
 */
export interface ChatExecutionSettings {
  requestId: string;
  /** The body sent to engines. */
  body: EngineRequestBody;
  /** The tier of the class: the priority sent to the engine unless the scheduler sets another. */
  tier: number;
  response: ServerResponse;
  sink: ChatSink;
  connections: ReplicaConnections;
  clock: Clock;
  onDropped: (what: string) => void;
  /** Called once when the caller reads slower than the engine writes. */
  onSlowCaller: () => void;
}

/**
 * Executes one chat request. The response of the engine is always streamed, whatever the caller asked
 * for: only a stream can be resumed after the last delivered token when its engine fails.
 *
 * @internal
 */
export class ChatExecution implements RequestExecution {
  private readonly settings: ChatExecutionSettings;

  private deliveredTokens = 0;

  private hasReportedSlowCaller = false;

  /** The number of the attempt whose tokens are delivered. */
  private currentAttempt = 0;

  private finishChunk: ChatChunk | undefined;

  constructor(settings: ChatExecutionSettings) {
    this.settings = settings;
  }

  run(dispatched: DispatchedAttempt): Promise<AttemptResult> {
    const { clock, connections, requestId, body, tier } = this.settings;
    const dispatcher = connections.getShared(dispatched.replica);
    this.currentAttempt = dispatched.number;
    const attempt = {
      ...dispatched,
      requestId,
      body: body.getText(dispatched.priority ?? tier),
      resumeAt: this.deliveredTokens,
      listener: this.createListener(dispatched),
    };
    return runChatAttempt(dispatcher, attempt, clock);
  }

  complete(): void {
    this.settings.sink.end(this.finishChunk, this.deliveredTokens);
  }

  fail(problem: Problem): void {
    this.settings.sink.fail(problem);
  }

  getDeliveredTokens(): number {
    return this.deliveredTokens;
  }

  /**
   * Creates the listener of an attempt. A cancelled or broken attempt may still have bytes in transit
   * when its successor starts; its listener ignores them, so that they don't reach the caller.
   */
  private createListener(dispatched: DispatchedAttempt): ChatResponseListener {
    const { sink, onDropped } = this.settings;
    let unreportedTokens = 0;
    const isCurrent = () => this.currentAttempt === dispatched.number;
    return {
      acceptsRawTokens: sink.acceptsRawTokens,
      onStart: () => sink.start(),
      onToken: (token: ChatToken) => {
        if (!isCurrent()) {
          onDropped('token of an ended attempt');
          return;
        }
        sink.writeToken(token);
        this.deliveredTokens += 1;
        unreportedTokens += 1;
      },
      onFinish: (chunk: ChatChunk) => {
        if (isCurrent()) {
          this.finishChunk = chunk;
        }
      },
      onTokensRead: () => {
        sink.flush();
        dispatched.onProgress(unreportedTokens);
        unreportedTokens = 0;
      },
      onDropped,
      waitForCaller: () => this.waitForCaller(dispatched),
    };
  }

  private waitForCaller({
    tokenGapTimeout,
    onProgress,
  }: DispatchedAttempt): Promise<void> | undefined {
    const { response, clock, onSlowCaller } = this.settings;
    if (!response.writableNeedDrain) {
      return undefined;
    }
    if (!this.hasReportedSlowCaller) {
      this.hasReportedSlowCaller = true;
      onSlowCaller();
    }
    const interval = tokenGapTimeout / REPORTS_PER_GAP;
    return waitForCaller({ response, clock, interval, onWaiting: () => onProgress(0) });
  }
}
