import { parentPort } from 'node:worker_threads';
import type { RunKey } from '../report/RunKey.js';
import { runByKey } from './runByKey.js';

/** The worker thread of `runAll`: receives one key at a time and posts its result. */
parentPort?.on('message', async (key: RunKey) => {
  parentPort!.postMessage(await runByKey(key));
});
