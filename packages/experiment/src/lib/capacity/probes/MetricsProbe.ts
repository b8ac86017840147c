import { Agent, request } from 'undici';
import { Bench, BenchModel } from '../../bench/Bench.js';
import { streamChat } from '../../bench/streamChat.js';
import { fitLine } from '../../measure/fitLine.js';
import { readProcessUsage } from '../../measure/ProcessUsage.js';
import type { CapacityProbe, RoleCapacity, Slope } from '../CapacityProbe.js';
import { getWorkedOut, NO_STORE_COST } from '../CapacityProbe.js';

/** Workspaces that have a label of their own; the router stops at a hundred. */
const SIZES = [10, 40, 70, 100];

const SCRAPES = 100;

/** Seconds between two scrapes. */
const SCRAPE_INTERVAL = 15;

const MILLISECONDS_PER_SECOND = 1000;

interface ScrapeReading {
  workspaces: number;
  bytes: number;
  /** Milliseconds of processor time for one scrape. */
  time: number;
}

async function scrape(bench: Bench): Promise<number> {
  const { body } = await request(`${bench.adminOrigin}/metrics`);
  return Buffer.byteLength(await body.text());
}

/** One request of each workspace, then scrapes. */
async function readScrapes(bench: Bench, workspaces: number): Promise<ScrapeReading> {
  const agent = new Agent({ connections: 4 });
  for (let index = 0; index < workspaces; index += 1) {
    const target = bench.getDaemonTarget(BenchModel.Probe, index);
    // eslint-disable-next-line no-await-in-loop
    await streamChat(agent, target, { content: 'Is a unit free?', maxTokens: 2 });
  }
  await agent.destroy();
  let bytes = await scrape(bench);
  const before = readProcessUsage(bench.daemon.pid);
  for (let index = 0; index < SCRAPES; index += 1) {
    // eslint-disable-next-line no-await-in-loop
    bytes = await scrape(bench);
  }
  const after = readProcessUsage(bench.daemon.pid);
  return { workspaces, bytes, time: (after.processorTime - before.processorTime) / SCRAPES };
}

async function readSizes(): Promise<ScrapeReading[]> {
  const bench = await Bench.start(Math.max(...SIZES));
  const readings: ScrapeReading[] = [];
  try {
    await readScrapes(bench, 1);
    for (let index = 0; index < SIZES.length; index += 1) {
      // eslint-disable-next-line no-await-in-loop
      readings.push(await readScrapes(bench, SIZES[index]!));
    }
  } finally {
    await bench.dispose();
  }
  return readings;
}

/** What being scraped costs a running daemon. */
export const metricsProbe: CapacityProbe = {
  role: 'metrics',
  async measure(): Promise<RoleCapacity> {
    const readings = await readSizes();
    const create = (figure: string, unit: string, field: 'bytes' | 'time'): Slope => ({
      figure,
      unit,
      sizeName: 'workspaces with a label',
      line: fitLine(
        readings.map((reading) => ({ size: reading.workspaces, value: reading[field] })),
      ),
      atSize: SIZES.at(-1)!,
    });
    const bytes = create('one scrape', 'bytes', 'bytes');
    const time = create('processor time of one scrape', 'ms', 'time');
    const perScrape = getWorkedOut(time) / MILLISECONDS_PER_SECOND;
    return {
      role: 'metrics',
      mechanism: 'router: RouterMetrics (prom-client), AdminServer',
      state: 'counters by class and workspace, at most 100 workspaces by name',
      isControl: true,
      daemon: {
        messagesPerSecond: 1 / SCRAPE_INTERVAL,
        bytesPerSecond: getWorkedOut(bytes) / SCRAPE_INTERVAL,
        core: perScrape / SCRAPE_INTERVAL,
        memoryBytes: 0,
      },
      store: NO_STORE_COST,
      slopes: [bytes, time],
      assumptions: [
        `one scrape every ${SCRAPE_INTERVAL} s, the usual setting; one class (with six, six times the series by workspace)`,
        'memory is within that of the process (relay)',
      ],
    };
  },
};
