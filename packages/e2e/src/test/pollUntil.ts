import { setTimeout } from 'node:timers/promises';

/** Limits the load that polling puts on the daemons. No test result depends on the value. */
const POLL_INTERVAL_MS = 20;

/** Polls until the answer matches. There is no limit other than the test's own timeout. */
export async function pollUntil<Answer>(
  ask: () => Promise<Answer>,
  matches: (answer: Answer) => boolean,
): Promise<Answer> {
  for (;;) {
    // Each poll starts after the previous answer.
    // eslint-disable-next-line no-await-in-loop
    const answer = await ask();
    if (matches(answer)) {
      return answer;
    }
    // Unreferenced, so that a poll that never matches does not keep the process alive.
    // eslint-disable-next-line no-await-in-loop
    await setTimeout(POLL_INTERVAL_MS, undefined, { ref: false });
  }
}
