import { ClaimManager, defaultClaimOptions } from '@apricotrill/claims';
import { MemoryPlatformStore } from '@apricotrill/store';
import { ManualClock } from '@apricotrill/utils';
import type { Milliseconds } from '@apricotrill/utils';
import { fitLine } from '../../measure/fitLine.js';
import type { Line } from '../../measure/fitLine.js';
import { measureHeap, measureLine, measureProcessorTime } from '../../measure/measureCost.js';
import { getWorkedOut } from '../CapacityProbe.js';
import type { CapacityProbe, RoleCapacity, Slope } from '../CapacityProbe.js';
import { MEMBER_CHANGES_PER_SECOND, twoYearSize } from '../twoYearSize.js';
import { ClaimsFleet, createMembers, SHARDS } from './ClaimsFleet.js';

/** Claims a second over the whole system. */
const RATES = [10, 50, 150, 420];

/** One request in a hundred may not be repeated (docs/DESIGN.md). */
const CLAIMS_PER_SECOND = twoYearSize.requestsPerSecond / 100;

const FLEET = 8;

const SPAN: Milliseconds = 20_000;

const MEMBER_COUNTS = [8, 100, 600, twoYearSize.daemons];

const MILLISECONDS_PER_SECOND = 1000;

interface RateReading {
  rate: number;
  writes: number;
  reads: number;
  written: number;
  peerCalls: number;
  perClaim: Milliseconds;
}

async function readRate(rate: number): Promise<RateReading> {
  const fleet = new ClaimsFleet(FLEET);
  await fleet.start();
  const before = fleet.getCounters();
  const processorTime = await measureProcessorTime(() => fleet.run(rate, SPAN));
  const after = fleet.getCounters();
  fleet.dispose();
  const seconds = SPAN / MILLISECONDS_PER_SECOND;
  const getRate = (name: keyof typeof after) => (after[name] - before[name]) / seconds;
  return {
    rate,
    writes: getRate('storeWrites') + getRate('storeDeletes'),
    reads: getRate('storeReads') + getRate('storeLists'),
    written: getRate('storeWrittenSize'),
    peerCalls: getRate('peerCalls'),
    perClaim: processorTime / (after.granted - before.granted),
  };
}

function fitReadings(readings: RateReading[], field: keyof RateReading): Line {
  return fitLine(readings.map((reading) => ({ size: reading.rate, value: reading[field] })));
}

/** A manager alone among so many members, as a daemon that owns nothing. */
function createManager(members: number): { manager: ClaimManager; clock: ManualClock } {
  const clock = new ManualClock(1_000_000);
  const all = createMembers(members);
  const manager = new ClaimManager({
    self: all[0]!,
    clock,
    store: new MemoryPlatformStore({ clock }),
    transport: { call: () => new Promise(() => {}) },
    getMembers: () => all,
  });
  return { manager, clock };
}

/** Milliseconds of processor time for one member that came or went. */
async function measureMemberChange(members: number): Promise<number> {
  const { manager, clock } = createManager(members);
  const changes = 5;
  const span = await measureProcessorTime(() => {
    for (let change = 0; change < changes; change += 1) {
      manager.handleMembersChange();
      clock.advance(defaultClaimOptions.rebalanceDelay);
    }
  });
  manager.dispose();
  return span / changes;
}

async function measureRateSlopes(): Promise<Record<string, Slope>> {
  const readings: RateReading[] = [];
  await readRate(RATES[0]!);
  for (let index = 0; index < RATES.length; index += 1) {
    // eslint-disable-next-line no-await-in-loop
    readings.push(await readRate(RATES[index]!));
  }
  const common = { sizeName: 'claims/s in all', atSize: CLAIMS_PER_SECOND };
  const create = (figure: string, unit: string, field: keyof RateReading): Slope => ({
    ...common,
    figure,
    unit,
    line: fitReadings(readings, field),
  });
  return {
    writes: create('store writes, whole system', '/s', 'writes'),
    reads: create('store reads, whole system', '/s', 'reads'),
    written: create('bytes written, whole system', 'bytes/s', 'written'),
    peerCalls: create('calls between daemons, whole system', '/s', 'peerCalls'),
    perClaim: create('processor time of one claim over all daemons it touches', 'ms', 'perClaim'),
  };
}

async function measureMemberSlopes(): Promise<Record<string, Slope>> {
  const common = { sizeName: 'daemons', atSize: twoYearSize.daemons };
  return {
    change: {
      ...common,
      figure: 'one member comes or goes',
      unit: 'ms',
      line: await measureLine(MEMBER_COUNTS, measureMemberChange),
    },
    heap: {
      ...common,
      figure: 'heap of a daemon that owns no shard',
      unit: 'bytes',
      line: await measureLine(MEMBER_COUNTS, (size) => measureHeap(() => createManager(size))),
    },
  };
}

/** What claims cost as their rate and the fleet grow. */
export const claimsProbe: CapacityProbe = {
  role: 'claims',
  async measure(): Promise<RoleCapacity> {
    const rates = await measureRateSlopes();
    const members = await measureMemberSlopes();
    // An owner of a shard carries a sixteenth of all claims; that daemon is the one to look at.
    const ownerClaims = CLAIMS_PER_SECOND / SHARDS;
    const claimCore = (getWorkedOut(rates.perClaim!) * ownerClaims) / MILLISECONDS_PER_SECOND;
    const changeCore =
      (getWorkedOut(members.change!) * MEMBER_CHANGES_PER_SECOND) / MILLISECONDS_PER_SECOND;
    return {
      role: 'claims',
      mechanism: 'claims: ClaimManager, ClaimShard, CommitLoop, ClaimWitness',
      state: `${SHARDS} shards; an owner holds its shard's keys for 15 minutes`,
      isControl: true,
      daemon: {
        messagesPerSecond: getWorkedOut(rates.peerCalls!) / SHARDS,
        bytesPerSecond: getWorkedOut(rates.written!) / SHARDS,
        core: claimCore + changeCore,
        memoryBytes: getWorkedOut(members.heap!),
      },
      withoutDuty: {
        messagesPerSecond: 0,
        bytesPerSecond: 0,
        core: changeCore,
        memoryBytes: getWorkedOut(members.heap!),
      },
      store: {
        readsPerSecond: getWorkedOut(rates.reads!),
        writesPerSecond: getWorkedOut(rates.writes!),
        waitingWatches: 0,
      },
      slopes: [...Object.values(rates), ...Object.values(members)],
      assumptions: [
        'one request in a hundred may not be repeated (docs/DESIGN.md)',
        `figures of a daemon are those of the owner of one of ${SHARDS} shards; a daemon that owns none spends only on membership changes`,
        'the store answers in 5 ms; answers kept are 13 bytes long',
        'bytes are those written to the store; calls between daemons are counted, their bytes are not',
      ],
    };
  },
};
