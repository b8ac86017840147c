import { Worker } from 'node:worker_threads';
import type { RunKey, RunResult } from '../report/RunKey.js';

/** Sends a key to a worker and resolves with its result. */
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
 * Runs the simulations of all keys on worker threads.
 *
 * @param keys - identify the runs
 * @param threads - the maximum number of concurrent runs
 * @param onResult - called with each result as it arrives, in no fixed order
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
