import type { ServerResponse } from 'node:http';
import { getProblemBody, writeProblem } from '../pipeline/writeProblem.js';
import type { Problem } from '../pipeline/Problem.js';
import type { ChatChunk } from '../upstream/ChatChunk.js';
import { getAnswerId, getUsage } from './chatAnswer.js';
import type { ChatSink } from './ChatSink.js';

/**
 * Streams tokens to the caller as server-sent events.
 *
 * @internal
 */
export class ChatStreamSink implements ChatSink {
  private readonly response: ServerResponse;

  private readonly requestId: string;

  constructor(response: ServerResponse, requestId: string) {
    this.response = response;
    this.requestId = requestId;
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

  writeToken(chunk: ChatChunk): void {
    this.write(chunk);
  }

  end(finish: ChatChunk | undefined, tokens: number): void {
    if (finish !== undefined) {
      const choices = finish.choices?.map((choice) => ({ ...choice, delta: {} }));
      this.write({ ...finish, choices, usage: getUsage(finish, tokens) });
    }
    this.response.end('data: [DONE]\n\n');
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

  private write(chunk: ChatChunk): void {
    const named = { ...chunk, id: getAnswerId(this.requestId) };
    this.response.write(`data: ${JSON.stringify(named)}\n\n`);
  }
}
