import type { ChatRequest } from './ChatRequest.js';

/**
 * The body of a chat request as engines get it: what the caller sent, streamed whatever the caller
 * asked for, with the priority of the attempt. It is written once for all attempts.
 *
 * @internal
 */
export class EngineBody {
  private readonly rest: string;

  /** @throws RangeError when the request is nested too deeply to be written */
  constructor(chat: ChatRequest) {
    this.rest = JSON.stringify({ ...chat, stream: true, priority: undefined }).slice(1);
  }

  getText(priority: number): string {
    return `{"priority":${priority},${this.rest}`;
  }
}
