import { once } from 'node:events';
import { Worker } from 'node:worker_threads';
import { SystemClock } from '@apricotrill/utils';
import { HttpEngineClient } from '../lib/HttpEngineClient/HttpEngineClient.js';
import { createFleet } from './createFleet.js';

const WARM_UP = 500;
const LOOKS = 2_000;

/** What one look at an engine costs over HTTP. */
interface LookCost {
  /** Milliseconds the daemon's thread was busy. */
  processor: number;
  /** Bytes of HTTP, both ways. */
  bytes: number;
}

/**
 * Measures looks at a stand-in that runs in a thread of its own.
 *
 * @param closes - whether each look opens a connection of its own
 * @internal
 */
export async function measureLooks(closes: boolean): Promise<LookCost> {
  const worker = new Worker(new URL('./stateServer.js', import.meta.url), {
    workerData: { closes },
  });
  const [{ port }] = await once(worker, 'message');
  const replica = { ...createFleet(1, []).register.replicas[0]!, port };
  const engines = new HttpEngineClient(new SystemClock());
  const look = async (count: number) => {
    for (let index = 0; index < count; index += 1) {
      // eslint-disable-next-line no-await-in-loop
      await engines.observe(replica);
    }
  };
  await look(WARM_UP);
  const start = performance.eventLoopUtilization();
  await look(LOOKS);
  const { active } = performance.eventLoopUtilization(start);
  worker.postMessage('stop');
  const [traffic] = await once(worker, 'message');
  await engines.dispose();
  await worker.terminate();
  return { processor: active / LOOKS, bytes: traffic.bytes / (WARM_UP + LOOKS) };
}
