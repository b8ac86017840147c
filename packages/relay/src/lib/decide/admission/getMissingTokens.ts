import type { Milliseconds } from '@apricotrill/utils';
import { getCachedPrefixes, getHomeEngines, getSessionPartId } from '../getCachedPrefixes.js';
import type { Prompt } from '../messages.js';
import type { ReplicaState } from '../ReplicaState/ReplicaState.js';

const NO_TOKENS: ReadonlyMap<ReplicaState, number> = new Map();

/**
 * Gets the prompt tokens that each engine would have to prefill.
 *
 * @param prompt - undefined if the request has none, so that nothing has to be prefilled
 * @returns the tokens by engine; engines that are absent have to prefill none
 */
export function getMissingTokens(
  prompt: Prompt | undefined,
  engines: readonly ReplicaState[],
  now: Milliseconds,
): ReadonlyMap<ReplicaState, number> {
  if (prompt === undefined) {
    return NO_TOKENS;
  }
  const session = getSessionPartId(prompt);
  const home = session === undefined ? undefined : getHomeEngines(session, engines)[0];
  const cachedPrefixes = getCachedPrefixes(prompt, engines, home, now);
  return new Map(
    engines.map((engine) => {
      const { cached } = cachedPrefixes.get(engine)!;
      return [engine, Math.max(0, prompt.inputTokens - cached)];
    }),
  );
}
