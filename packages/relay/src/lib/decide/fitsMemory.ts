import { getMemoryTokens } from './getMemoryTokens.js';
import type { Prompt } from './messages.js';
import type { RunningAttempt } from './RequestRecord.js';

/** What a running request holds in an engine. */
export type HeldRequest = Pick<RunningAttempt, 'memoryTokens' | 'missingTokens' | 'prompt'>;

/** A prefix that was cached already is held by the request that had it prefilled. */
function getOwnTokens({ memoryTokens, missingTokens, prompt }: HeldRequest): number {
  const cachedTokens = prompt === undefined ? 0 : prompt.inputTokens - missingTokens;
  return memoryTokens - Math.max(0, cachedTokens);
}

/**
 * Whether an engine has memory for another request besides those that are known to run there.
 *
 * Load pattern: long prompts arrive faster than engines finish them. An engine that is sent more than it can
 * hold preempts requests and prefills them again later, or fails. A request waits at the daemon instead. An
 * engine without requests takes any of them, so that none waits forever.
 */
export function fitsMemory(
  running: ReadonlySet<HeldRequest>,
  prompt: Prompt | undefined,
  capacity: number,
): boolean {
  let tokens = getMemoryTokens(prompt);
  running.forEach((request) => {
    tokens += getOwnTokens(request);
  });
  return running.size === 0 || tokens <= capacity;
}
