/**
 * One `chat.completion.chunk` of a streamed answer, as far as the router reads it.
 *
 * @internal
 */
export interface ChatChunk {
  id: string;
  model?: string;
  created?: number;
  choices?: { index: number; delta: { content?: string }; finish_reason?: string | null }[];
  usage?: { prompt_tokens: number; completion_tokens: number; total_tokens: number };
}

/**
 * A token as it is handed on.
 *
 * @internal
 */
export type ChatToken =
  | { kind: 'chunk'; chunk: ChatChunk }
  /** Everything of the chunk's text that follows its name, to be passed on as it came. */
  | { kind: 'tail'; tail: string };

/**
 * What a chat attempt hands to the request that owns it.
 *
 * @internal
 */
export interface ChatListener {
  /** Whether tokens are only passed on, so that their text need not be understood. */
  readonly passesOn: boolean;
  /** The next token of the answer, in order, none twice. */
  onToken(token: ChatToken): void;
  /** The closing chunk: why the answer ended, and what it used. */
  onFinish(chunk: ChatChunk): void;
  /** Something came that belongs to another attempt, or repeats a token; it was dropped. */
  onStray(what: string): void;
}
