import { Mesh } from '@apricotrill/mesh';
import { SystemClock } from '@apricotrill/utils';
import type { Milliseconds } from '@apricotrill/utils';
import { fitLine } from '../../measure/fitLine.js';
import { measureProcessorTime, settleHeap } from '../../measure/measureCost.js';
import { getWorkedOut } from '../CapacityProbe.js';
import type { CapacityProbe, RoleCapacity, Slope } from '../CapacityProbe.js';
import { twoYearSize } from '../twoYearSize.js';
import { ClusterFleet } from './ClusterFleet.js';
import { FRAME_BYTES, IN_AND_OUT } from './MemoryNetwork.js';

const SIZES = [8, 50, 150, 300];

const SPAN: Milliseconds = 20_000;

const SECONDS = SPAN / 1000;

const MILLISECONDS_PER_SECOND = 1000;

/** gRPC calls measured for their processor time. */
const CALLS = 2_000;

interface FleetReading {
  daemons: number;
  /** Each daemon's, a second. */
  messages: number;
  bytes: number;
  /** Part of a core, without the cost of sending. */
  core: number;
  heap: number;
  /** Of the whole fleet, a second. */
  reads: number;
}

async function readFleet(daemons: number): Promise<FleetReading> {
  await settleHeap();
  const heapBefore = process.memoryUsage().heapUsed;
  const fleet = new ClusterFleet(daemons);
  await fleet.start();
  await settleHeap();
  const heap = (process.memoryUsage().heapUsed - heapBefore) / daemons;
  const before = fleet.getCounts();
  const span = await measureProcessorTime(() => fleet.advance(SPAN));
  const after = fleet.getCounts();
  fleet.dispose();
  return {
    daemons,
    messages: (after.messages - before.messages) / SECONDS / daemons,
    bytes: (after.bytes - before.bytes) / SECONDS / daemons,
    core: span / SPAN / daemons,
    heap,
    reads: (after.reads - before.reads) / SECONDS,
  };
}

/** Milliseconds of processor time of one gRPC call, both ends together, at each payload size. */
async function measureCallSlope(): Promise<Slope> {
  const clock = new SystemClock();
  const create = (self: string) => new Mesh({ self, host: '127.0.0.1', port: 0, clock });
  const [caller, server] = [create('caller'), create('server')];
  server.handle('echo', (message) => message);
  const address = `127.0.0.1:${await server.listen()}`;
  const points = [];
  const sizes = [100, 100, 1_000, 10_000];
  for (let index = 0; index < sizes.length; index += 1) {
    const message = 'x'.repeat(sizes[index]!);
    // eslint-disable-next-line no-await-in-loop
    const span = await measureProcessorTime(async () => {
      for (let call = 0; call < CALLS; call += 1) {
        // eslint-disable-next-line no-await-in-loop
        await caller.call(address, 'echo', message, { timeout: 5_000 });
      }
    });
    points.push({ size: sizes[index]!, value: span / CALLS });
  }
  caller.dispose();
  server.dispose();
  // The first reading only warms up.
  const line = fitLine(points.slice(1));
  const figure = 'one call between daemons, both ends';
  return { figure, unit: 'ms', sizeName: 'bytes each way', line, atSize: 300 };
}

async function readFleets(): Promise<FleetReading[]> {
  const readings: FleetReading[] = [];
  await readFleet(SIZES[0]!);
  for (let index = 0; index < SIZES.length; index += 1) {
    // eslint-disable-next-line no-await-in-loop
    readings.push(await readFleet(SIZES[index]!));
  }
  return readings;
}

function createSlope(
  readings: FleetReading[],
  figure: string,
  unit: string,
  field: keyof FleetReading,
): Slope {
  const points = readings.map((reading) => ({ size: reading.daemons, value: reading[field] }));
  const atSize = twoYearSize.daemons;
  return { figure, unit, sizeName: 'daemons', line: fitLine(points), atSize };
}

/** What knowing the other daemons costs as the fleet grows. */
export const membershipProbe: CapacityProbe = {
  role: 'membership',
  async measure(): Promise<RoleCapacity> {
    const readings = await readFleets();
    const call = await measureCallSlope();
    const messages = createSlope(readings, 'messages a daemon sends', '/s', 'messages');
    const bytes = createSlope(readings, 'encoded bytes a daemon sends', 'bytes/s', 'bytes');
    const core = createSlope(readings, 'part of a core, sending left out', '', 'core');
    const heap = createSlope(readings, 'heap of a daemon', 'bytes', 'heap');
    const reads = createSlope(readings, 'store reads, whole system', '/s', 'reads');
    const rate = IN_AND_OUT * getWorkedOut(messages);
    // A call is two messages, each sent by one end and received by the other: a quarter for each.
    const sending = (rate * getWorkedOut(call)) / 4 / MILLISECONDS_PER_SECOND;
    return {
      role: 'membership',
      mechanism: 'cluster: ClusterManager, ClusterCore (Prober, Gossiper, AntiEntropy); mesh',
      state: 'a record of each daemon',
      isControl: true,
      daemon: {
        messagesPerSecond: rate,
        bytesPerSecond: IN_AND_OUT * getWorkedOut(bytes) + rate * FRAME_BYTES,
        core: getWorkedOut(core) + sending,
        memoryBytes: getWorkedOut(heap),
      },
      store: { readsPerSecond: getWorkedOut(reads), writesPerSecond: 0, waitingWatches: 0 },
      slopes: [messages, bytes, core, heap, reads, call],
      assumptions: [
        `a quiet fleet in ${ClusterFleet.zones} availability zones; sizes beyond ${SIZES.at(-1)} daemons are extrapolated`,
        `HTTP/2, TCP and IP add ${FRAME_BYTES} bytes to a message`,
        'messages and bytes count both ways',
        'waiting watches and reads of changes are counted with the configuration',
      ],
    };
  },
};
