import type { Clock, Milliseconds } from '@apricotrill/utils';
import type { AskedMembers } from './fetchMembersFromAny.js';
import { DaemonUnavailableError } from './DaemonUnavailableError.js';
import { getBehind } from './MemberList.js';

const POLL_INTERVAL: Milliseconds = 200;

/** Resolves after a span of the clock. */
export function pause(clock: Clock, span: Milliseconds): Promise<void> {
  return new Promise((resolve) => {
    clock.setTimer(span, resolve);
  });
}

/** Asks once; undefined when no daemon answers, which may pass. */
async function tryAsk(ask: () => Promise<AskedMembers>): Promise<AskedMembers | undefined> {
  try {
    return await ask();
  } catch (error) {
    if (error instanceof DaemonUnavailableError) {
      return undefined;
    }
    throw error;
  }
}

/**
 * Asks again and again until every live daemon has a generation in force, or time is up.
 *
 * @returns the last answer, or undefined when no daemon ever answered
 */
export async function waitUntilInForce(
  clock: Clock,
  ask: () => Promise<AskedMembers>,
  generation: number,
  timeout: Milliseconds,
): Promise<AskedMembers | undefined> {
  const end = clock.now() + timeout;
  let last: AskedMembers | undefined;
  for (;;) {
    // eslint-disable-next-line no-await-in-loop -- each question follows the answer before
    const asked = await tryAsk(ask);
    last = asked ?? last;
    const isDone = asked !== undefined && getBehind(asked.list, generation).length === 0;
    if (isDone || clock.now() >= end) {
      return last;
    }
    // eslint-disable-next-line no-await-in-loop
    await pause(clock, POLL_INTERVAL);
  }
}
