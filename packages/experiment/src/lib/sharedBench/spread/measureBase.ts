import type { Milliseconds } from '@apricotrill/utils';
import { BenchProcess } from '../processes/BenchProcess.js';
import { readDetailedUsage } from '../processes/readDetailedUsage.js';
import type { DetailedUsage } from '../processes/readDetailedUsage.js';
import { wait } from '../processes/waitUntil.js';
import type { SharedFleet } from '../SharedFleet.js';

/** Until a process that has just started is calm; as long as a fleet gets. */
const SETTLING: Milliseconds = 15_000;

/** What a process takes before it shares anything. */
export interface Base {
  residentBytes: number;
  anonymousBytes: number;
  /** Part of one core. */
  core: number;
}

/** What is there without control. */
export interface BaseReading {
  /** Node.js alone. */
  runtime: Base;
  /** The daemon with all its libraries, alone on two files, asking the same replicas for load. */
  lone: Base;
}

const IDLE_SCRIPT = 'setInterval(() => {}, 1000); console.log("running");';

async function measure(pid: number, window: Milliseconds): Promise<Base> {
  await wait(SETTLING);
  const read = (): DetailedUsage & { at: Milliseconds } => ({
    at: performance.now(),
    ...readDetailedUsage(pid),
  });
  const before = read();
  await wait(window);
  const after = read();
  return {
    residentBytes: after.residentBytes,
    anonymousBytes: after.anonymousBytes,
    core: (after.processorTime - before.processorTime) / (after.at - before.at),
  };
}

/**
 * Measures Node.js alone and a daemon that shares nothing, so that what control costs can be told
 * from what any daemon costs.
 *
 * @param fleet - whose backend servers and configuration the daemon is given
 * @internal
 */
export async function measureBase(fleet: SharedFleet, window: Milliseconds): Promise<BaseReading> {
  const runtime = await BenchProcess.startScript(IDLE_SCRIPT);
  const lone = await fleet.startLoneDaemon();
  const [runtimeBase, loneBase] = await Promise.all([
    measure(runtime.pid, window),
    measure(lone.pid, window),
  ]);
  await runtime.kill();
  await lone.dispose();
  return { runtime: runtimeBase, lone: loneBase };
}
