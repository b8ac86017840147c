import { Worker } from 'node:worker_threads';
import type { RunKey, RunResult } from '../report/RunKey.js';

/** Resolves with the next result of a worker. */
function runOnWorker(worker: Worker, key: RunKey): Promise<RunResult> {
  return new Promise((resolve, reject) => {
    worker.once('error', reject);
    worker.once('message', (result: RunResult) => {
      worker.off('error', reject);
      resolve(result);
    });
    worker.postMessage(key);
  });
}

/**
 * Runs all keys on a few threads of this process.
 *
 * @param keys - the runs
 * @param threads - how many run at once
 * @param onResult - hears each result as it comes, in no fixed order
 * @returns the results in the order of the keys
 * @throws Error when a run fails
 * @internal
 */
export async function runAll(
  keys: RunKey[],
  threads: number,
  onResult: (result: RunResult) => void,
): Promise<RunResult[]> {
  const results: RunResult[] = [];
  let next = 0;
  const work = async () => {
    const worker = new Worker(new URL('./simulationWorker.js', import.meta.url));
    while (next < keys.length) {
      const index = next;
      next += 1;
      // eslint-disable-next-line no-await-in-loop
      const result = await runOnWorker(worker, keys[index]!);
      results[index] = result;
      onResult(result);
    }
    await worker.terminate();
  };
  await Promise.all(Array.from({ length: Math.min(threads, keys.length) }, work));
  return results;
}
