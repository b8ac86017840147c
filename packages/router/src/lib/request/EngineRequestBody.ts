import type { ChatRequest } from './ChatRequest.js';

/**
 * The body of a chat request as sent to engines: the caller's request with streaming always enabled
 * and the priority of the attempt. It is serialized once for all attempts.
 *
 * @internal
 */
export class EngineRequestBody {
  private readonly jsonTail: string;

  /** @throws RangeError when the request is nested too deeply to be serialized */
  constructor(chat: ChatRequest) {
    this.jsonTail = JSON.stringify({ ...chat, stream: true, priority: undefined }).slice(1);
  }

  getText(priority: number): string {
    return `{"priority":${priority},${this.jsonTail}`;
  }
}
