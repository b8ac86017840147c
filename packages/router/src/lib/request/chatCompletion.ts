import type { ChatChunk } from '../upstream/ChatChunk.js';

/**
 * Returns the id of the completion as the caller sees it, which is the same for all attempts.
 *
 * @example
 * ```ts
 * const id = getCompletionId(requestId);
 * ```
 * @internal
 */
export function getCompletionId(requestId: string): string {
  return `chatcmpl-${requestId}`;
}

/**
 * Returns the token usage of the whole response. The engine's figures can't be used for the completion
 * tokens: a resumed attempt counts only its own.
 *
 * @example
 * ```ts
 * const usage = getUsage(finishChunk, deliveredTokens);
 * ```
 * @internal
 */
export function getUsage(finishChunk: ChatChunk | undefined, tokens: number) {
  const promptTokens = finishChunk?.usage?.prompt_tokens ?? 0;
  return {
    prompt_tokens: promptTokens,
    completion_tokens: tokens,
    total_tokens: promptTokens + tokens,
  };
}
