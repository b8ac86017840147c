import type { Clock } from '@apricotrill/utils';
import type { ServerResponse } from 'node:http';
import type { Problem } from '../pipeline/Problem.js';
import type { AttemptResult } from '../upstream/Attempt.js';
import type { ChatAnswerListener } from '../upstream/ChatResponseReader.js';
import type { ChatChunk, ChatToken } from '../upstream/ChatChunk.js';
import type { ReplicaConnections } from '../upstream/ReplicaConnections.js';
import { runChatAttempt } from '../upstream/runChatAttempt.js';
import type { ChatSink } from './ChatSink.js';
import type { EngineBody } from './EngineRequestBody.js';
import type { OrderedAttempt, RequestWork } from './RequestExecution.js';
import { waitForCaller } from './waitForCaller/waitForCaller.js';

/** How often, in the longest gap between tokens, the scheduler hears that a caller is slow. */
const BEATS_PER_GAP = 3;

/**
 * What a chat request is made of.
 *
 * @internal
 */
export interface ChatWorkParts {
  requestId: string;
  /** What engines get. */
  body: EngineBody;
  /** The tier of the class: the priority engines honour when the scheduler gives no other. */
  tier: number;
  response: ServerResponse;
  sink: ChatSink;
  connections: ReplicaConnections;
  clock: Clock;
  onStray: (what: string) => void;
  /** The caller reads slower than the engine writes; told once. */
  onSlowCaller: () => void;
}

/**
 * Carries one chat request through its attempts. Upstream it is always streamed, whatever the
 * caller asked for: only a stream can be resumed at the delivered token when its engine dies.
 *
 * @internal
 */
export class ChatWork implements RequestWork {
  private readonly parts: ChatWorkParts;

  private delivered = 0;

  private callerIsSlow = false;

  /** The attempt whose tokens count. */
  private current = 0;

  private finish: ChatChunk | undefined;

  constructor(parts: ChatWorkParts) {
    this.parts = parts;
  }

  run(ordered: OrderedAttempt): Promise<AttemptResult> {
    const { clock, connections, requestId, body, tier } = this.parts;
    const dispatcher = connections.getShared(ordered.replica);
    this.current = ordered.number;
    const attempt = {
      ...ordered,
      requestId,
      body: body.getText(ordered.priority ?? tier),
      resumeAt: this.delivered,
      listener: this.createListener(ordered),
    };
    return runChatAttempt(dispatcher, attempt, clock);
  }

  complete(): void {
    this.parts.sink.end(this.finish, this.delivered);
  }

  fail(problem: Problem): void {
    this.parts.sink.fail(problem);
  }

  getDelivered(): number {
    return this.delivered;
  }

  /**
   * A cancelled or broken attempt may still have bytes on the way when its successor starts; its
   * listener is shut by then, so that nothing it says reaches the caller.
   */
  private createListener(ordered: OrderedAttempt): ChatAnswerListener {
    const { sink, onStray } = this.parts;
    let unreported = 0;
    const isCurrent = () => this.current === ordered.number;
    return {
      passesOn: sink.passesOn,
      onStart: () => sink.start(),
      onToken: (token: ChatToken) => {
        if (!isCurrent()) {
          onStray('token of an attempt that is over');
          return;
        }
        sink.writeToken(token);
        this.delivered += 1;
        unreported += 1;
      },
      onFinish: (chunk: ChatChunk) => {
        if (isCurrent()) {
          this.finish = chunk;
        }
      },
      onRead: () => {
        sink.flush();
        ordered.onProgress(unreported);
        unreported = 0;
      },
      onStray,
      waitForCaller: () => this.waitForCaller(ordered),
    };
  }

  private waitForCaller({
    tokenGapTimeout,
    onProgress,
  }: OrderedAttempt): Promise<void> | undefined {
    const { response, clock, onSlowCaller } = this.parts;
    if (!response.writableNeedDrain) {
      return undefined;
    }
    if (!this.callerIsSlow) {
      this.callerIsSlow = true;
      onSlowCaller();
    }
    const beat = tokenGapTimeout / BEATS_PER_GAP;
    return waitForCaller({ response, clock, beat, onBeat: () => onProgress(0) });
  }
}
