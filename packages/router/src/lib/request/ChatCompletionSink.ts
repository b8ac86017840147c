import type { ServerResponse } from 'node:http';
import { writeProblem } from '../pipeline/writeProblem.js';
import type { Problem } from '../pipeline/Problem.js';
import type { ChatChunk, ChatToken } from '../upstream/ChatChunk.js';
import { getCompletionId, getUsage } from './chatCompletion.js';
import type { ChatSink } from './ChatSink.js';

/**
 * Collects the tokens and responds with a single `chat.completion`.
 *
 * @internal
 */
export class ChatCompletionSink implements ChatSink {
  readonly acceptsRawTokens = false;

  private readonly response: ServerResponse;

  private readonly requestId: string;

  private readonly texts: string[] = [];

  private model: string | undefined;

  private created: number | undefined;

  constructor(response: ServerResponse, requestId: string) {
    this.response = response;
    this.requestId = requestId;
  }

  // The status is not known until the response is complete.
  // eslint-disable-next-line class-methods-use-this
  start(): void {}

  writeToken(token: ChatToken): void {
    if (token.kind === 'tail') {
      throw new TypeError('only parsed tokens can be collected');
    }
    const { chunk } = token;
    this.model ??= chunk.model;
    this.created ??= chunk.created;
    this.texts.push(chunk.choices?.[0]?.delta.content ?? '');
  }

  // eslint-disable-next-line class-methods-use-this
  flush(): void {}

  end(finishChunk: ChatChunk | undefined, tokens: number): void {
    const { response, requestId } = this;
    const body = JSON.stringify({
      id: getCompletionId(requestId),
      object: 'chat.completion',
      created: this.created ?? finishChunk?.created,
      model: this.model ?? finishChunk?.model,
      choices: [
        {
          index: 0,
          message: { role: 'assistant', content: this.texts.join('') },
          finish_reason: finishChunk?.choices?.[0]?.finish_reason ?? 'stop',
        },
      ],
      usage: getUsage(finishChunk, tokens),
    });
    response.writeHead(200, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
      'x-request-id': requestId,
    });
    response.end(body);
  }

  fail(problem: Problem): void {
    writeProblem(this.response, problem, this.requestId);
  }
}
