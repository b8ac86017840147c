/**
 * The fields of a `chat.completion.chunk` that the router reads.
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
 * A token of a streamed response.
 *
 * @internal
 */
export type ChatToken =
  | { kind: 'chunk'; chunk: ChatChunk }
  /** The unparsed text of the chunk after its id, to be forwarded unchanged. */
  | { kind: 'tail'; tail: string };

/**
 * Receives the content of a chat response; implemented by the request that owns the attempt.
 *
 * @internal
 */
export interface ChatListener {
  /** Whether tokens may be passed as unparsed text, because they are only forwarded. */
  readonly acceptsRawTokens: boolean;
  /** The next token of the response, in order and without duplicates. */
  onToken(token: ChatToken): void;
  /** The final chunk, with the finish reason and the token usage. */
  onFinish(chunk: ChatChunk): void;
  /** Data of another attempt, or a repeated token, was dropped. */
  onDropped(what: string): void;
}
