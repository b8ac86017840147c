import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import type { Milliseconds } from '@apricotrill/utils';
import type { FleetSize } from './Fleet.js';
import { Fleet } from './Fleet.js';
import { measureEdit } from './measureEdit.js';

/**
 * Measures what membership and configuration distribution cost each daemon, by fleet size: real
 * cores on a simulated clock, with messages encoded as on the wire. Processor time covers the cores
 * and codecs only; gRPC and the kernel add a cost per call.
 *
 *     node packages/cluster/dist/bench/spreadCost.js [sizes, e.g. 9,100]
 */

const SIZES: FleetSize[] = [
  { daemons: 9, regions: 1, availabilityZones: 4 },
  { daemons: 100, regions: 2, availabilityZones: 8 },
  { daemons: 450, regions: 3, availabilityZones: 9 },
  { daemons: 1800, regions: 5, availabilityZones: 15 },
];

const IDLE_DURATION: Milliseconds = 30_000;

const CHANGE_COUNT = 5;

const CHANGE_INTERVAL: Milliseconds = 10_000;

const SECOND_MS = 1000;

/**
 * HTTP/2 framing per message, as captured on a connection: 40 bytes for the request and 39 for the
 * response of one call.
 */
const HTTP2_BYTES_PER_MESSAGE = 79 / 2;

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

function getHeap(): number {
  collectGarbage();
  return process.memoryUsage().heapUsed;
}

function getProcessorTime(): number {
  const { user, system } = process.cpuUsage();
  return user + system;
}

/** Runs for a span and returns messages, bytes and processor time per daemon and second. */
function measureSpan(fleet: Fleet, span: Milliseconds, run: () => void) {
  const daemons = fleet.hosts.length;
  const before = fleet.getTotals();
  const start = getProcessorTime();
  run();
  const busy = getProcessorTime() - start;
  const after = fleet.getTotals();
  const each = (value: number) => value / daemons / (span / SECOND_MS);
  const messages = after.messages - before.messages;
  // Each message is sent by one daemon and received by another.
  const bytes = 2 * (after.bytes - before.bytes + messages * HTTP2_BYTES_PER_MESSAGE);
  return {
    'messages/s in and out': each(2 * messages).toFixed(1),
    'bytes/s in and out': each(bytes).toFixed(0),
    'core µs/s': each(busy).toFixed(0),
    'store reads/s, fleet': ((after.storeReads - before.storeReads) / (span / SECOND_MS)).toFixed(
      2,
    ),
  };
}

function isInForce(fleet: Fleet, generation: number): boolean {
  return fleet.hosts.every(({ core }) => core.generation === generation);
}

/** Accepts changes and returns how long each took to be in force on all daemons. */
function measureChanges(fleet: Fleet): Milliseconds[] {
  return Array.from({ length: CHANGE_COUNT }, () => {
    const generation = fleet.acceptChange();
    const time = fleet.measureTimeUntil(() => isInForce(fleet, generation));
    fleet.clock.advance(CHANGE_INTERVAL - Math.min(time, CHANGE_INTERVAL));
    return time;
  });
}

/** Crashes one daemon or a whole zone, and measures how long the others take to detect it. */
function measureCrash(fleet: Fleet, zone: string | undefined) {
  const crashed = fleet.hosts.filter(({ self }, index) =>
    zone === undefined ? index === 1 : self.availabilityZone === zone,
  );
  const remaining = fleet.hosts.length - crashed.length;
  fleet.crash(crashed);
  const before = fleet.getTotals();
  const time = fleet.measureTimeUntil(() =>
    fleet.hosts.every(({ core }) => core.memberCount === remaining),
  );
  const { bytes, messages } = fleet.getTotals();
  const total = 2 * (bytes - before.bytes + (messages - before.messages) * HTTP2_BYTES_PER_MESSAGE);
  const rate = (total / remaining / time) * SECOND_MS;
  return {
    gone: crashed.length,
    's until known': (time / SECOND_MS).toFixed(1),
    'bytes/s': rate.toFixed(0),
  };
}

function measureFleet(size: FleetSize): void {
  const heapBefore = getHeap();
  const fleet = new Fleet(size);
  fleet.start();
  fleet.acceptChange();
  fleet.clock.advance(2 * IDLE_DURATION);
  const heap = (getHeap() - heapBefore) / size.daemons;
  const print = (label: string, figures: object) =>
    // eslint-disable-next-line no-console -- printing is the purpose of this command
    console.log(size.daemons, label, JSON.stringify(figures));
  const watches = fleet.getWaitingWatches();
  print('memory', { 'kB of a daemon': (heap / 1024).toFixed(0), 'waiting watches': watches });
  print(
    'quiet',
    measureSpan(fleet, IDLE_DURATION, () => fleet.clock.advance(IDLE_DURATION)),
  );
  let times: Milliseconds[] = [];
  const span = CHANGE_COUNT * CHANGE_INTERVAL;
  const cost = measureSpan(fleet, span, () => {
    times = measureChanges(fleet);
  });
  print('a change each 10 s', { 'ms until in force everywhere': times, ...cost });
  fleet.platformState.hasSilentWatches = true;
  fleet.clock.advance(SECOND_MS);
  print('silent watches', { 'ms until in force everywhere': measureChanges(fleet) });
  fleet.platformState.hasSilentWatches = false;
  print('one daemon fails', measureCrash(fleet, undefined));
  print('a zone fails', measureCrash(fleet, 'zone-0'));
  fleet.dispose();
}

// eslint-disable-next-line no-console -- as above
console.log('an edit of the two-year register', JSON.stringify(measureEdit()));
const wanted = process.argv[2]?.split(',').map(Number);
SIZES.filter(({ daemons }) => wanted?.includes(daemons) ?? true).forEach(measureFleet);
