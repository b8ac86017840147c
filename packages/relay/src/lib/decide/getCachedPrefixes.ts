import { getRendezvousScore } from '@apricotrill/utils';
import type { Milliseconds } from '@apricotrill/utils';
import type { Prompt } from './messages.js';
import type { ReplicaState } from './ReplicaState/ReplicaState.js';

/** What one engine holds of one prompt. */
export interface Holding {
  /** Tokens of the prompt's head that it keeps, or will once it has read what was sent. */
  cached: number;
  /** Tokens that another engine could copy from it now. */
  copyable: number;
}

/**
 * The part by which requests of one session find each other: the last that can be shared. The last
 * of all belongs to the request alone, unless there is only one.
 */
export function getSessionPart(prompt: Prompt): string | undefined {
  return (prompt.parts.at(-2) ?? prompt.parts.at(-1))?.id;
}

/** The engines in the order in which a session prefers them, which all daemons compute alike. */
export function getHomes(session: string, engines: readonly ReplicaState[]): ReplicaState[] {
  return engines
    .map((engine) => ({ engine, score: getRendezvousScore(session, engine.replica.name) }))
    .sort((left, right) => right.score - left.score)
    .map(({ engine }) => engine);
}

function getTokens(prompt: Prompt, parts: number): number {
  return prompt.parts.slice(0, parts).reduce((sum, { tokens }) => sum + tokens, 0);
}

/**
 * What each engine holds of a prompt.
 *
 * Load pattern: so many daemons that an engine does not tell all of them what it caches, and each
 * sees too few requests to know. Taken for empty, all engines look alike, each small wait sends a
 * session to another engine, and its history is read anew there. So an engine that was never heard
 * is taken to hold the sessions that it is the home of, and the heads that all sessions share.
 *
 * @param home - the engine that the prompt's session prefers
 */
export function getHoldings(
  prompt: Prompt,
  engines: readonly ReplicaState[],
  home: ReplicaState | undefined,
  now: Milliseconds,
): ReadonlyMap<ReplicaState, Holding> {
  // A prompt of one part may be a session's or its own: nothing is taken for held.
  const shared = Math.max(0, prompt.parts.length - 1);
  const getAssumed = (engine: ReplicaState) => {
    const parts = engine === home ? shared : Math.max(0, shared - 1);
    return engine.cache.isKnown ? 0 : Math.min(prompt.inputTokens, getTokens(prompt, parts));
  };
  return new Map(
    engines.map((engine) => {
      const assumed = getAssumed(engine);
      const cached = Math.max(assumed, engine.cache.getCached(prompt, now));
      const copyable = Math.max(assumed, engine.cache.getCopyable(prompt, now));
      return [engine, { cached, copyable }];
    }),
  );
}
