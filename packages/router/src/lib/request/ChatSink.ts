import type { Problem } from '../pipeline/Problem.js';
import type { ChatChunk, ChatToken } from '../upstream/ChatChunk.js';

/**
 * Where the tokens of a chat answer go.
 *
 * @internal
 */
export interface ChatSink {
  /** Whether tokens are only passed on: they come as text where that will do. */
  readonly passesOn: boolean;
  /** An engine has taken the request. */
  start(): void;
  writeToken(token: ChatToken): void;
  /** The tokens so far may not wait for further ones. */
  flush(): void;
  end(finish: ChatChunk | undefined, tokens: number): void;
  fail(problem: Problem): void;
}
