import type { Prompt } from './messages.js';

/** KV-cache memory that a request needs, in tokens: the prompt and half of the maximum output. */
export function getMemoryTokens(prompt: Prompt | undefined): number {
  return prompt === undefined ? 0 : prompt.inputTokens + prompt.outputTokens / 2;
}
