import type { ServerResponse } from 'node:http';
import { getProblemBody, writeProblem } from '../pipeline/writeProblem.js';
import type { Problem } from '../pipeline/Problem.js';
import type { ChatChunk, ChatToken } from '../upstream/ChatChunk.js';
import { getAnswerId, getUsage } from './chatCompletion.js';
import type { ChatSink } from './ChatSink.js';

/**
 * Streams tokens to the caller as server-sent events.
 *
 * @internal
 */
export class ChatStreamSink implements ChatSink {
  readonly passesOn = true;

  private readonly response: ServerResponse;

  private readonly requestId: string;

  private readonly answerId: string;

  /** How a chunk begins towards the caller. */
  private readonly namedHead: string;

  private unsent = '';

  constructor(response: ServerResponse, requestId: string) {
    this.response = response;
    this.requestId = requestId;
    this.answerId = getAnswerId(requestId);
    this.namedHead = `{"id":${JSON.stringify(this.answerId)},`;
  }

  start(): void {
    const { response } = this;
    if (response.headersSent || response.destroyed) {
      return;
    }
    response.writeHead(200, {
      'content-type': 'text/event-stream',
      'cache-control': 'no-store',
      'x-request-id': this.requestId,
    });
    response.flushHeaders();
  }

  /** Only the name differs in what the caller gets: the rest is passed on as it came. */
  writeToken(token: ChatToken): void {
    if (token.kind === 'tail') {
      this.unsent += `data: ${this.namedHead}${token.tail}\n\n`;
    } else {
      this.addChunk(token.chunk);
    }
  }

  /** Tokens that came in one read leave in one write. */
  flush(): void {
    if (this.unsent !== '') {
      this.response.write(this.unsent);
      this.unsent = '';
    }
  }

  end(finish: ChatChunk | undefined, tokens: number): void {
    if (finish !== undefined) {
      const choices = finish.choices?.map((choice) => ({ ...choice, delta: {} }));
      this.addChunk({ ...finish, choices, usage: getUsage(finish, tokens) });
    }
    this.response.end(`${this.unsent}data: [DONE]\n\n`);
  }

  /**
   * Once tokens are out the status can't change any more: the problem goes into the stream, and the
   * end mark never comes, so that the caller knows that the answer is not whole.
   */
  fail(problem: Problem): void {
    const { response, requestId } = this;
    if (!response.headersSent) {
      writeProblem(response, problem, requestId);
      return;
    }
    response.end(
      `event: error\ndata: ${JSON.stringify({ error: getProblemBody(problem, requestId) })}\n\n`,
    );
  }

  private addChunk(chunk: ChatChunk): void {
    const named = { ...chunk, id: this.answerId };
    this.unsent += `data: ${JSON.stringify(named)}\n\n`;
  }
}
