import { parentPort } from 'node:worker_threads';
import type { RunKey } from '../report/RunKey.js';
import { runByKey } from './runByKey.js';

/** The thread side of `runAll`: one key in, one result out. */
parentPort?.on('message', async (key: RunKey) => {
  parentPort!.postMessage(await runByKey(key));
});
