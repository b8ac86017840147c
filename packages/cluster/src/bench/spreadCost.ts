import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import type { Milliseconds } from '@apricotrill/utils';
import type { FleetSize } from './Fleet.js';
import { Fleet } from './Fleet.js';
import { measureEdit } from './measureEdit.js';

/**
 * What membership and the spread of configuration cost each daemon, by size of the fleet: real
 * cores on a simulated clock, messages encoded as on the wire. Processor time is that of the cores
 * and codecs; gRPC and the kernel come on top, by the call.
 *
 *     node packages/cluster/dist/bench/spreadCost.js [sizes, e.g. 9,100]
 */

const SIZES: FleetSize[] = [
  { daemons: 9, regions: 1, availabilityZones: 4 },
  { daemons: 100, regions: 2, availabilityZones: 8 },
  { daemons: 450, regions: 3, availabilityZones: 9 },
  { daemons: 1800, regions: 5, availabilityZones: 15 },
];

const QUIET: Milliseconds = 30_000;

const CHANGES = 5;

const CHANGE_INTERVAL: Milliseconds = 10_000;

const SECOND = 1000;

/** HTTP/2 frames of one call, read off a connection: 40 bytes of a request, 39 of an answer. */
const HTTP2_BYTES = 79 / 2;

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

/** Bytes, messages, calls and processor time of a span, of one daemon, a second. */
function measureSpan(fleet: Fleet, span: Milliseconds, run: () => void) {
  const daemons = fleet.hosts.length;
  const before = fleet.getCounts();
  const start = getProcessorTime();
  run();
  const busy = getProcessorTime() - start;
  const after = fleet.getCounts();
  const each = (value: number) => value / daemons / (span / SECOND);
  const messages = after.messages - before.messages;
  // Each message is sent by one daemon and taken by another.
  const bytes = 2 * (after.bytes - before.bytes + messages * HTTP2_BYTES);
  return {
    'messages/s in and out': each(2 * messages).toFixed(1),
    'bytes/s in and out': each(bytes).toFixed(0),
    'core µs/s': each(busy).toFixed(0),
    'store reads/s, fleet': ((after.storeReads - before.storeReads) / (span / SECOND)).toFixed(2),
  };
}

function isInForce(fleet: Fleet, generation: number): boolean {
  return fleet.hosts.every(({ core }) => core.generation === generation);
}

/** Accepts changes and says how long each took to be in force everywhere. */
function measureChanges(fleet: Fleet): Milliseconds[] {
  return Array.from({ length: CHANGES }, () => {
    const generation = fleet.accept();
    const time = fleet.timeUntil(() => isInForce(fleet, generation));
    fleet.clock.advance(CHANGE_INTERVAL - Math.min(time, CHANGE_INTERVAL));
    return time;
  });
}

/** Ends the daemons at once and says how long until the others hold all of them for dead. */
function measureDeaths(fleet: Fleet, zone: string | undefined) {
  const gone = fleet.hosts.filter(({ self }, index) =>
    zone === undefined ? index === 1 : self.availabilityZone === zone,
  );
  const left = fleet.hosts.length - gone.length;
  fleet.crash(gone);
  const before = fleet.getCounts();
  const time = fleet.timeUntil(() => fleet.hosts.every(({ core }) => core.memberCount === left));
  const { bytes, messages } = fleet.getCounts();
  const total = 2 * (bytes - before.bytes + (messages - before.messages) * HTTP2_BYTES);
  const rate = (total / left / time) * SECOND;
  return {
    gone: gone.length,
    's until known': (time / SECOND).toFixed(1),
    'bytes/s': rate.toFixed(0),
  };
}

function measure(size: FleetSize): void {
  const heapBefore = getHeap();
  const fleet = new Fleet(size);
  fleet.start();
  fleet.accept();
  fleet.clock.advance(2 * QUIET);
  const heap = (getHeap() - heapBefore) / size.daemons;
  const print = (label: string, figures: object) =>
    // eslint-disable-next-line no-console -- this is what the command is for
    console.log(size.daemons, label, JSON.stringify(figures));
  const watches = fleet.getWaitingWatches();
  print('memory', { 'kB of a daemon': (heap / 1024).toFixed(0), 'waiting watches': watches });
  print(
    'quiet',
    measureSpan(fleet, QUIET, () => fleet.clock.advance(QUIET)),
  );
  let times: Milliseconds[] = [];
  const span = CHANGES * CHANGE_INTERVAL;
  const cost = measureSpan(fleet, span, () => {
    times = measureChanges(fleet);
  });
  print('a change each 10 s', { 'ms until in force everywhere': times, ...cost });
  fleet.platform.hasSilentWatches = true;
  fleet.clock.advance(SECOND);
  print('silent watches', { 'ms until in force everywhere': measureChanges(fleet) });
  fleet.platform.hasSilentWatches = false;
  print('one daemon fails', measureDeaths(fleet, undefined));
  print('a zone fails', measureDeaths(fleet, 'zone-0'));
  fleet.dispose();
}

// eslint-disable-next-line no-console -- as above
console.log('an edit of the two-year register', JSON.stringify(measureEdit()));
const wanted = process.argv[2]?.split(',').map(Number);
SIZES.filter(({ daemons }) => wanted?.includes(daemons) ?? true).forEach(measure);
