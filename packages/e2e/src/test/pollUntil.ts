import { setTimeout } from 'node:timers/promises';

/** Between two questions, so that asking does not load the daemons; no verdict hangs on it. */
const POLL_INTERVAL = 20;

/** Asks until the answer is as wanted; the test's own time limit ends it otherwise. */
export async function pollUntil<Answer>(
  ask: () => Promise<Answer>,
  isIt: (answer: Answer) => boolean,
): Promise<Answer> {
  for (;;) {
    // Each question follows the answer before.
    // eslint-disable-next-line no-await-in-loop
    const answer = await ask();
    if (isIt(answer)) {
      return answer;
    }
    // Without a reference, so that what never comes does not keep the process alive.
    // eslint-disable-next-line no-await-in-loop
    await setTimeout(POLL_INTERVAL, undefined, { ref: false });
  }
}
