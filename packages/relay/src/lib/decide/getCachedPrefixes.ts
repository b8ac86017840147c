import { getRendezvousScore } from '@apricotrill/utils';
import type { Milliseconds } from '@apricotrill/utils';
import type { Prompt } from './messages.js';
import type { ReplicaState } from './ReplicaState/ReplicaState.js';

/** The prefix of a prompt that one engine has cached. */
export interface CachedPrefix {
  /** Length in tokens, including prompts that were sent to the engine and not prefilled yet. */
  cached: number;
  /** Tokens that another engine can copy now. */
  copyable: number;
}

/**
 * The ID of the prompt part that identifies the session: the last part that other requests can
 * share. That is the last but one, since the last part belongs to this request alone, unless it is
 * the only one.
 */
export function getSessionPartId(prompt: Prompt): string | undefined {
  return (prompt.parts.at(-2) ?? prompt.parts.at(-1))?.id;
}

/**
 * Orders the engines by a session's preference (rendezvous hashing). All daemons compute the same
 * order.
 */
export function getHomeEngines(session: string, engines: readonly ReplicaState[]): ReplicaState[] {
  return engines
    .map((engine) => ({ engine, score: getRendezvousScore(session, engine.replica.name) }))
    .sort((left, right) => right.score - left.score)
    .map(({ engine }) => engine);
}

function getTokens(prompt: Prompt, parts: number): number {
  return prompt.parts.slice(0, parts).reduce((sum, { tokens }) => sum + tokens, 0);
}

/**
 * Gets the prefix of a prompt that each engine has cached.
 *
 * Load pattern: there are so many daemons that an engine does not report its cache to all of them,
 * and each daemon sees too few requests to infer it. If unknown caches counted as empty, all
 * engines would look alike, every short wait would move a session to another engine, and its
 * history would be prefilled again there. Therefore an engine that has not reported its cache is
 * assumed to have cached the sessions whose home it is, and the prefix that all sessions share.
 *
 * @param home - the first home engine of the prompt's session
 */
export function getCachedPrefixes(
  prompt: Prompt,
  engines: readonly ReplicaState[],
  home: ReplicaState | undefined,
  now: Milliseconds,
): ReadonlyMap<ReplicaState, CachedPrefix> {
  // The only part of a prompt may not be shared with any other prompt, so nothing is assumed.
  const sharedParts = Math.max(0, prompt.parts.length - 1);
  const getAssumedTokens = (engine: ReplicaState) => {
    const parts = engine === home ? sharedParts : Math.max(0, sharedParts - 1);
    return engine.cache.isKnown ? 0 : Math.min(prompt.inputTokens, getTokens(prompt, parts));
  };
  return new Map(
    engines.map((engine) => {
      const assumed = getAssumedTokens(engine);
      const cached = Math.max(assumed, engine.cache.getCached(prompt, now));
      const copyable = Math.max(assumed, engine.cache.getCopyable(prompt, now));
      return [engine, { cached, copyable }];
    }),
  );
}
