import { once } from 'node:events';
import { Worker } from 'node:worker_threads';
import { SystemClock } from '@apricotrill/utils';
import { HttpEngineClient } from '../lib/HttpEngineClient/HttpEngineClient.js';
import { createFleet } from './createFleet.js';

const WARM_UP = 500;
const OBSERVATIONS = 2_000;

/** The cost of observing one engine over HTTP. */
interface ObservationCost {
  /** Milliseconds that the daemon's thread was busy. */
  processorTime: number;
  /** Bytes of HTTP in both directions. */
  bytes: number;
}

/**
 * Measures observations of a simulated engine that runs in a separate thread.
 *
 * @param closesConnections - whether each observation opens a new connection
 * @internal
 */
export async function measureObservations(closesConnections: boolean): Promise<ObservationCost> {
  const worker = new Worker(new URL('./stateServer.js', import.meta.url), {
    workerData: { closesConnections },
  });
  const [{ port }] = await once(worker, 'message');
  const replica = { ...createFleet(1, []).register.replicas[0]!, port };
  const engines = new HttpEngineClient(new SystemClock());
  const observe = async (count: number) => {
    for (let index = 0; index < count; index += 1) {
      // eslint-disable-next-line no-await-in-loop
      await engines.observe(replica);
    }
  };
  await observe(WARM_UP);
  const start = performance.eventLoopUtilization();
  await observe(OBSERVATIONS);
  const { active } = performance.eventLoopUtilization(start);
  worker.postMessage('stop');
  const [traffic] = await once(worker, 'message');
  await engines.dispose();
  await worker.terminate();
  return { processorTime: active / OBSERVATIONS, bytes: traffic.bytes / (WARM_UP + OBSERVATIONS) };
}
