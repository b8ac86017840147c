import type { Prompt } from './messages.js';

/** What a request will take of its engine's memory: the prompt, and half of the longest answer. */
export function getMemoryTokens(prompt: Prompt | undefined): number {
  return prompt === undefined ? 0 : prompt.inputTokens + prompt.outputTokens / 2;
}
