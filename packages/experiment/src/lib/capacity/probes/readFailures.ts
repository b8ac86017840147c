import type { Milliseconds } from '@apricotrill/utils';
import { ClaimsFleet } from './ClaimsFleet.js';
import { ClusterFleet } from './ClusterFleet.js';

const STEP: Milliseconds = 100;

const REST: Milliseconds = 20_000;

const PARTED: Milliseconds = 120_000;

/** How long membership takes to notice a crash, as the readings below show it. */
const NOTICED: Milliseconds = 8_000;

const CLAIMS_FLEET = 8;

const SIZES = [24, 80, 160];

/** What a failure cost a fleet until everybody agreed on who is there. */
export interface FailureReading {
  what: string;
  daemons: number;
  /** Until every running daemon knows exactly those that run. */
  span: Milliseconds;
  /** Sent by one daemon, on average, in that time. */
  messages: number;
  bytes: number;
  /** Bytes a second, both ways, that one daemon passes on average in that time. */
  bytesPerSecond: number;
}

async function readFailure(
  what: string,
  daemons: number,
  fail: (fleet: ClusterFleet) => Promise<void>,
): Promise<FailureReading> {
  const fleet = new ClusterFleet(daemons);
  await fleet.start();
  await fleet.advance(REST);
  await fail(fleet);
  const before = fleet.getCounts();
  const span = await fleet.waitUntilKnown(STEP);
  const after = fleet.getCounts();
  fleet.dispose();
  const messages = (after.messages - before.messages) / daemons;
  const bytes = (after.bytes - before.bytes) / daemons;
  return { what, daemons, span, messages, bytes, bytesPerSecond: (2 * bytes * 1000) / span };
}

/** Until claims on a failed owner's shards are taken again, in milliseconds. */
export async function readTakeover(): Promise<Milliseconds> {
  const fleet = new ClaimsFleet(CLAIMS_FLEET);
  await fleet.start();
  await fleet.run(50, REST);
  const span = await fleet.crashOwner(NOTICED);
  fleet.dispose();
  return span;
}

function getZone(daemons: number): number[] {
  return Array.from({ length: daemons }, (_, index) => index).filter(
    (index) => index % ClusterFleet.zones === 1,
  );
}

async function readFleetFailures(daemons: number): Promise<FailureReading[]> {
  return [
    await readFailure('one daemon fails', daemons, async (fleet) => fleet.crash([2])),
    await readFailure(
      'an availability zone fails (a quarter of the fleet)',
      daemons,
      async (fleet) => fleet.crash(getZone(daemons)),
    ),
    await readFailure('two halves meet again after two minutes apart', daemons, async (fleet) => {
      fleet.part(Math.floor(daemons / 2));
      await fleet.advance(PARTED);
      fleet.heal();
    }),
  ];
}

/**
 * Lets one daemon fail, then an availability zone, then the two halves of a fleet lose each other
 * for two minutes, each in a fleet of its own, at several sizes.
 *
 * @internal
 */
export async function readFailures(): Promise<FailureReading[]> {
  const readings: FailureReading[] = [];
  for (let index = 0; index < SIZES.length; index += 1) {
    // eslint-disable-next-line no-await-in-loop
    readings.push(...(await readFleetFailures(SIZES[index]!)));
  }
  return readings;
}
