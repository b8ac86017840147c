import { parentPort, workerData } from 'node:worker_threads';
import { OpenLoopLoad } from './OpenLoopLoad.js';
import type { LoadPlan } from './OpenLoopLoad.js';

/** The thread that carries the load, so that counting tokens does not blur the latency readings. */
const load = new OpenLoopLoad(workerData as LoadPlan);
load.start();
parentPort?.on('message', async (message: 'counts' | 'stop') => {
  if (message === 'stop') {
    await load.stop();
    parentPort!.close();
  }
  parentPort!.postMessage(load.counts);
});
