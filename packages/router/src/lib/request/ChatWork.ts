import type { Clock } from '@apricotrill/utils';
import type { ServerResponse } from 'node:http';
import type { Problem } from '../pipeline/Problem.js';
import type { AttemptResult } from '../upstream/Attempt.js';
import type { ChatChunk } from '../upstream/ChatChunk.js';
import type { ReplicaConnections } from '../upstream/ReplicaConnections.js';
import { runChatAttempt } from '../upstream/runChatAttempt.js';
import type { ChatRequest } from './ChatRequest.js';
import type { ChatSink } from './ChatSink.js';
import type { OrderedAttempt, RequestWork } from './RequestWork.js';

/**
 * What a chat request is made of.
 *
 * @internal
 */
export interface ChatWorkParts {
  requestId: string;
  chat: ChatRequest;
  /** The priority engines honour: the tier of the class. */
  priority: number;
  response: ServerResponse;
  sink: ChatSink;
  connections: ReplicaConnections;
  clock: Clock;
  onStray: (what: string) => void;
}

/**
 * Carries one chat request through its attempts. Upstream it is always streamed, whatever the
 * caller asked for: only a stream can be resumed at the delivered token when its engine dies.
 *
 * @internal
 */
export class ChatWork implements RequestWork {
  private readonly parts: ChatWorkParts;

  private readonly body: string;

  private delivered = 0;

  private finish: ChatChunk | undefined;

  constructor(parts: ChatWorkParts) {
    this.parts = parts;
    this.body = JSON.stringify({ ...parts.chat, stream: true, priority: parts.priority });
  }

  run(ordered: OrderedAttempt): Promise<AttemptResult> {
    const { clock, connections, requestId } = this.parts;
    const dispatcher = connections.getShared(ordered.replica);
    const attempt = {
      ...ordered,
      requestId,
      body: this.body,
      resumeAt: this.delivered,
      onHead: () => this.parts.sink.start(),
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
  private createListener(ordered: OrderedAttempt) {
    const { response, sink, onStray } = this.parts;
    const isCurrent = () => !ordered.signal.aborted;
    return {
      onToken: (chunk: ChatChunk) => {
        if (!isCurrent()) {
          onStray('token of a cancelled attempt');
          return;
        }
        this.delivered += 1;
        sink.writeToken(chunk);
        ordered.onProgress(1);
      },
      onFinish: (chunk: ChatChunk) => {
        if (isCurrent()) {
          this.finish = chunk;
        }
      },
      onStray,
      waitForCaller: () =>
        response.writableNeedDrain
          ? new Promise<void>((resolve) => {
              response.once('drain', resolve);
              response.once('close', resolve);
            })
          : undefined,
    };
  }
}
