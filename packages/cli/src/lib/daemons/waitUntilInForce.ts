import type { Clock, Milliseconds } from '@apricotrill/utils';
import type { MembersAnswer } from './fetchMembersFromAny.js';
import { DaemonUnavailableError } from './DaemonUnavailableError.js';
import { getLaggingMembers } from './MemberList.js';

const POLL_INTERVAL_MS: Milliseconds = 200;

/** Resolves after a duration. */
export function delay(clock: Clock, duration: Milliseconds): Promise<void> {
  return new Promise((resolve) => {
    clock.setTimer(duration, resolve);
  });
}

/** Returns undefined if no daemon answers, which may be temporary. */
async function tryFetch(
  fetchOnce: () => Promise<MembersAnswer>,
): Promise<MembersAnswer | undefined> {
  try {
    return await fetchOnce();
  } catch (error) {
    if (error instanceof DaemonUnavailableError) {
      return undefined;
    }
    throw error;
  }
}

/**
 * Polls until a generation is in force at every live daemon or the timeout expires.
 *
 * @returns the last answer, or undefined if no daemon answered at all
 */
export async function waitUntilInForce(
  clock: Clock,
  fetchAnswer: () => Promise<MembersAnswer>,
  generation: number,
  timeout: Milliseconds,
): Promise<MembersAnswer | undefined> {
  const deadline = clock.now() + timeout;
  let lastAnswer: MembersAnswer | undefined;
  for (;;) {
    // eslint-disable-next-line no-await-in-loop -- polling is sequential
    const answer = await tryFetch(fetchAnswer);
    lastAnswer = answer ?? lastAnswer;
    const isDone = answer !== undefined && getLaggingMembers(answer.list, generation).length === 0;
    if (isDone || clock.now() >= deadline) {
      return lastAnswer;
    }
    // eslint-disable-next-line no-await-in-loop
    await delay(clock, POLL_INTERVAL_MS);
  }
}
