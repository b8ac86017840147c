import type { ChatChunk } from '../upstream/ChatChunk.js';

/**
 * The name of the answer towards the caller: the same through all attempts.
 *
 * @example
 * ```ts
 * const id = getAnswerId(requestId);
 * ```
 * @internal
 */
export function getAnswerId(requestId: string): string {
  return `chatcmpl-${requestId}`;
}

/**
 * The usage of the whole answer: a resumed attempt counts its own tokens only.
 *
 * @example
 * ```ts
 * const usage = getUsage(finish, delivered);
 * ```
 * @internal
 */
export function getUsage(finish: ChatChunk | undefined, tokens: number) {
  const promptTokens = finish?.usage?.prompt_tokens ?? 0;
  return {
    prompt_tokens: promptTokens,
    completion_tokens: tokens,
    total_tokens: promptTokens + tokens,
  };
}
