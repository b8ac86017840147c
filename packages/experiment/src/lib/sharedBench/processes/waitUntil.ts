import { StepError } from '@apricotrill/utils';
import type { Milliseconds } from '@apricotrill/utils';

/** Between two questions. */
const INTERVAL: Milliseconds = 100;

/** For as long as a busy machine may need to start dozens of daemons. */
const LIMIT: Milliseconds = 300_000;

/** Lets time go by. */
export function wait(span: Milliseconds): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, span);
  });
}

/**
 * Asks until the answer is yes.
 *
 * @param what - named in the error
 * @throws StepError when it takes too long
 * @internal
 */
export async function waitUntil(what: string, isSo: () => Promise<boolean>): Promise<void> {
  const end = Date.now() + LIMIT;
  // eslint-disable-next-line no-await-in-loop -- each question waits for the answer before
  while (!(await isSo())) {
    if (Date.now() > end) {
      throw new StepError(`not within ${LIMIT} ms`, { step: 'wait', peer: what });
    }
    // eslint-disable-next-line no-await-in-loop
    await wait(INTERVAL);
  }
}
