import { destroyResponse } from '@apricotrill/callers';
import type { ServerResponse } from 'node:http';
import { defaultRouterOptions } from '../options.js';
import { getProblemBody, writeProblem } from '../pipeline/writeProblem.js';
import type { Problem } from '../pipeline/Problem.js';
import type { ChatChunk, ChatToken } from '../upstream/ChatChunk.js';
import { getCompletionId, getUsage } from './chatCompletion.js';
import type { ChatSink } from './ChatSink.js';

/**
 * Streams tokens to the caller as server-sent events.
 *
 * @internal
 */
export class ChatStreamSink implements ChatSink {
  readonly acceptsRawTokens = true;

  private readonly response: ServerResponse;

  private readonly requestId: string;

  private readonly completionId: string;

  /** The start of each chunk sent to the caller. */
  private readonly chunkPrefix: string;

  private pendingText = '';

  constructor(response: ServerResponse, requestId: string) {
    this.response = response;
    this.requestId = requestId;
    this.completionId = getCompletionId(requestId);
    this.chunkPrefix = `{"id":${JSON.stringify(this.completionId)},`;
  }

  start(): void {
    const { response } = this;
    if (response.headersSent || response.destroyed) {
      return;
    }
    // Some clients take a stream that is cut off for complete beside `Connection: close`. The server closes
    // the connection all the same if it has to.
    response.removeHeader('connection');
    response.writeHead(200, {
      'content-type': 'text/event-stream',
      'cache-control': 'no-store',
      'x-request-id': this.requestId,
    });
    response.flushHeaders();
  }

  /** Replaces only the id of an unparsed chunk; the rest is forwarded unchanged. */
  writeToken(token: ChatToken): void {
    if (token.kind === 'tail') {
      this.pendingText += `data: ${this.chunkPrefix}${token.tail}\n\n`;
    } else {
      this.addChunk(token.chunk);
    }
  }

  /** Sends all tokens of one read in one write. */
  flush(): void {
    if (this.pendingText !== '') {
      this.response.write(this.pendingText);
      this.pendingText = '';
    }
  }

  end(finishChunk: ChatChunk | undefined, tokens: number): void {
    if (finishChunk !== undefined) {
      const choices = finishChunk.choices?.map((choice) => ({ ...choice, delta: {} }));
      this.addChunk({ ...finishChunk, choices, usage: getUsage(finishChunk, tokens) });
    }
    this.response.end(`${this.pendingText}data: [DONE]\n\n`);
  }

  /**
   * Once the headers have been sent the status can't change any more. The problem is then sent as an
   * event without a final `[DONE]`, and the response is broken off, so that the caller knows that it is
   * incomplete, whether it looks at its events or only at its end.
   */
  fail(problem: Problem): void {
    const { response, requestId } = this;
    if (!response.headersSent) {
      writeProblem(response, problem, requestId);
      return;
    }
    const { callerStallTimeout, brokenStreamDelay } = defaultRouterOptions;
    response.setTimeout(callerStallTimeout, () => destroyResponse(response));
    response.write(
      `event: error\ndata: ${JSON.stringify({ error: getProblemBody(problem, requestId) })}\n\n`,
      // A reset discards what has not been received yet.
      () => setTimeout(() => destroyResponse(response), brokenStreamDelay),
    );
  }

  private addChunk(chunk: ChatChunk): void {
    const named = { ...chunk, id: this.completionId };
    this.pendingText += `data: ${JSON.stringify(named)}\n\n`;
  }
}
