import { once } from 'node:events';
import { Worker } from 'node:worker_threads';
import type { LoadCounts, LoadPlan } from './OpenLoopLoad.js';

/**
 * An open-loop load on a thread of its own.
 *
 * @internal
 */
export class LoadThread {
  private readonly worker: Worker;

  constructor(plan: LoadPlan) {
    this.worker = new Worker(new URL('./loadWorker.js', import.meta.url), { workerData: plan });
  }

  async getCounts(): Promise<LoadCounts> {
    this.worker.postMessage('counts');
    const [counts] = (await once(this.worker, 'message')) as [LoadCounts];
    return counts;
  }

  async stop(): Promise<void> {
    await this.worker.terminate();
  }
}
