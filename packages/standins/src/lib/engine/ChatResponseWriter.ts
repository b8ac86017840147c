import type { OutgoingHttpHeaders, ServerResponse } from 'node:http';
import { sendJson } from '../http/sendJson.js';
import type { ChatRequest } from './parseChatRequest.js';

/** Writes the response to one chat request, either streamed as server-sent events or as a whole. */
export class ChatResponseWriter {
  private readonly created = Math.floor(Date.now() / 1_000);

  private readonly sent: string[] = [];

  constructor(
    private readonly request: ChatRequest,
    private readonly tokens: readonly string[],
    private readonly response: ServerResponse,
    private readonly getHeaders: () => OutgoingHttpHeaders,
  ) {}

  /** Sends the head of a streamed response. */
  sendHead(): void {
    if (this.request.stream) {
      this.response.writeHead(200, {
        'content-type': 'text/event-stream',
        'cache-control': 'no-store',
        ...this.getHeaders(),
      });
      this.response.flushHeaders();
    }
  }

  sendToken(index: number): void {
    const content = this.tokens[index]!;
    this.sent.push(content);
    if (this.request.stream) {
      const delta = index === 0 ? { role: 'assistant', content } : { content };
      const chunk = this.getChunk(this.request.requestId, [
        { index: 0, delta, finish_reason: null },
      ]);
      this.response.write(`id: ${index}\ndata: ${JSON.stringify(chunk)}\n\n`);
    }
  }

  /** Sends a chunk that belongs to another request, as if responses had been mixed up. */
  sendStrayChunk(): void {
    if (this.request.stream) {
      const choices = [{ index: 0, delta: { content: ' stray' } }];
      const chunk = this.getChunk('stray/0', choices);
      this.response.write(`id: 0\ndata: ${JSON.stringify(chunk)}\n\n`);
    }
  }

  finish(promptTokens: number): void {
    const finishReason = this.tokens.length < this.request.maxTokens ? 'stop' : 'length';
    const usage = {
      prompt_tokens: promptTokens,
      completion_tokens: this.tokens.length,
      total_tokens: promptTokens + this.tokens.length,
    };
    if (this.request.stream) {
      this.finishStream(finishReason, usage);
    } else {
      this.sendCompletion(finishReason, usage);
    }
  }

  /** Breaks the connection in the middle of the response. */
  breakConnection(): void {
    this.response.destroy();
  }

  private finishStream(finishReason: string, usage: object): void {
    const choices = [{ index: 0, delta: {}, finish_reason: finishReason }];
    const chunk = { ...this.getChunk(this.request.requestId, choices), usage };
    this.response.end(`data: ${JSON.stringify(chunk)}\n\ndata: [DONE]\n\n`);
  }

  private sendCompletion(finishReason: string, usage: object): void {
    const message = { role: 'assistant', content: this.sent.join('') };
    const choices = [{ index: 0, message, finish_reason: finishReason }];
    const body = { ...this.getHead(this.request.requestId), object: 'chat.completion', choices };
    sendJson(this.response, 200, { ...body, usage }, this.getHeaders());
  }

  private getHead(id: string): { id: string; created: number; model: string } {
    return { id, created: this.created, model: this.request.model };
  }

  private getChunk(id: string, choices: object[]): object {
    return { ...this.getHead(id), object: 'chat.completion.chunk', choices };
  }
}
