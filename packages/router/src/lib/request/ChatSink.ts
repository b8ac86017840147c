import type { Problem } from '../pipeline/Problem.js';
import type { ChatChunk, ChatToken } from '../upstream/ChatChunk.js';

/**
 * Receives the tokens of a chat response and writes them to the caller.
 *
 * @internal
 */
export interface ChatSink {
  /** Whether tokens may be passed as unparsed text, because they are only forwarded. */
  readonly acceptsRawTokens: boolean;
  /** An engine has accepted the request. */
  start(): void;
  writeToken(token: ChatToken): void;
  /** Sends buffered tokens without waiting for more. */
  flush(): void;
  end(finishChunk: ChatChunk | undefined, tokens: number): void;
  fail(problem: Problem): void;
}
