import type { Problem } from '../pipeline/Problem.js';
import type { ChatChunk } from '../upstream/ChatChunk.js';

/**
 * Where the tokens of a chat answer go.
 *
 * @internal
 */
export interface ChatSink {
  /** An engine has taken the request. */
  start(): void;
  writeToken(chunk: ChatChunk): void;
  end(finish: ChatChunk | undefined, tokens: number): void;
  fail(problem: Problem): void;
}
