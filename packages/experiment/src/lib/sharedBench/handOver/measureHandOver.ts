import type { Milliseconds } from '@apricotrill/utils';
import { getSpread } from '../../report/getSpread.js';
import type { Spread } from '../../report/getSpread.js';
import type { DaemonProcess } from '../processes/DaemonProcess.js';
import { wait, waitUntil } from '../processes/waitUntil.js';
import type { SharedFleet } from '../SharedFleet.js';
import type { BackendRun } from '../processes/BackendProcess.js';
import { judgeCalls, judgeRuns } from './judgeHandOver.js';
import type { CallsVerdict, RunsVerdict } from './judgeHandOver.js';
import { ReadyBalancer } from './ReadyBalancer.js';
import { SteadyLoad } from './SteadyLoad.js';
import type { LoadRates } from './SteadyLoad.js';

const MILLISECONDS_PER_SECOND = 1000;

/** Under load before the first daemon is told to stop. */
const CALM: Milliseconds = 10_000;

/** Two engines of 16 slots carry the chats, two services the rest, with room to spare. */
export const HAND_OVER_RATES: LoadRates = { checks: 40, holds: 20, chats: 8 };

/** What one restart took. */
interface Restart {
  code: number | string;
  /** From the signal to the end of the process. */
  stopping: Milliseconds;
  /** From the start of the process until it was ready. */
  starting: Milliseconds;
}

/** A rolling restart of a whole fleet under load. */
export interface HandOverReading {
  daemons: number;
  seconds: number;
  /** Of the calls before the first restart, for comparison, and of those from then on. */
  calm: CallsVerdict;
  restarts: CallsVerdict;
  /** Of all of them. */
  runs: RunsVerdict;
  stopping: Spread;
  starting: Spread;
  /** Exit codes other than 0. */
  wrongExits: (number | string)[];
}

async function restart(daemon: DaemonProcess, balancer: ReadyBalancer): Promise<Restart> {
  const begin = performance.now();
  const code = await daemon.stop();
  const ended = performance.now();
  await daemon.start();
  await waitUntil(`${daemon.address.id} ready`, () => daemon.isReady());
  const ready = performance.now();
  await waitUntil(`${daemon.address.id} gets calls`, async () => balancer.isSending(daemon));
  return { code, stopping: ended - begin, starting: ready - ended };
}

async function restartAll(
  fleet: SharedFleet,
  balancer: ReadyBalancer,
  onStep: (step: string) => void,
): Promise<Restart[]> {
  const restarts: Restart[] = [];
  for (let index = 0; index < fleet.daemons.length; index += 1) {
    const daemon = fleet.daemons[index]!;
    onStep(`restarting ${daemon.address.id}`);
    // The next one goes when this one is back, as in a rolling restart.
    // eslint-disable-next-line no-await-in-loop
    restarts.push(await restart(daemon, balancer));
  }
  return restarts;
}

async function getRuns(fleet: SharedFleet): Promise<BackendRun[][]> {
  return Promise.all(fleet.backends.map((backend) => backend.getRuns()));
}

/**
 * Restarts every daemon of a fleet, one after the other, under a steady load of checks, holds and
 * streamed chats.
 *
 * @param round - the seed of the load; keys of different rounds differ
 * @param onStep - hears what begins
 * @internal
 */
export async function measureHandOver(
  fleet: SharedFleet,
  round: number,
  onStep: (step: string) => void,
): Promise<HandOverReading> {
  const earlier = await getRuns(fleet);
  const balancer = await ReadyBalancer.start(fleet.daemons);
  const load = new SteadyLoad(balancer, `round-${round}`, round);
  const begin = performance.now();
  load.start(HAND_OVER_RATES);
  await wait(CALM);
  const firstSignal = performance.now();
  const restarts = await restartAll(fleet, balancer, onStep);
  onStep('waiting for the last answers');
  const seconds = (performance.now() - begin) / MILLISECONDS_PER_SECOND;
  await load.stop();
  balancer.stop();
  const runs = (await getRuns(fleet)).flatMap((all, index) => all.slice(earlier[index]!.length));
  const { records } = load;
  return {
    daemons: fleet.daemons.length,
    seconds,
    calm: judgeCalls(records.filter(({ startedAt }) => startedAt < firstSignal)),
    restarts: judgeCalls(records.filter(({ startedAt }) => startedAt >= firstSignal)),
    runs: judgeRuns(records, runs),
    stopping: getSpread(restarts.map(({ stopping }) => stopping)),
    starting: getSpread(restarts.map(({ starting }) => starting)),
    wrongExits: restarts.map(({ code }) => code).filter((code) => code !== 0),
  };
}
