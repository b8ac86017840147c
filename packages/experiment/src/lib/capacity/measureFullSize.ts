import { ClaimManager } from '@apricotrill/claims';
import { ActiveConfiguration } from '@apricotrill/configuration';
import type { Manifest } from '@apricotrill/configuration';
import { MemoryPlatformStore } from '@apricotrill/store';
import { Scheduler } from '@apricotrill/policy';
import { assert, createRandom, ManualClock } from '@apricotrill/utils';
import type { Milliseconds } from '@apricotrill/utils';
import { advanceClock } from '../measure/advanceClock.js';
import { measureProcessorTime, settleHeap } from '../measure/measureCost.js';
import type { FullSizeReading } from './FullSizeReading.js';
import { getReportRate } from './loadReports.js';
import { createMembers } from './probes/ClaimsFleet.js';
import {
  createEdited,
  createGeneration,
  createSizedConfiguration,
} from './probes/sizedConfiguration.js';
import type { Generation } from './probes/sizedConfiguration.js';
import { CHANGES_PER_SECOND, MEMBER_CHANGES_PER_SECOND, twoYearSize } from './twoYearSize.js';

const MEBIBYTE = 2 ** 20;

/** Seconds of steady control that are played. */
const STEADY_SECONDS = 60;

const SECOND: Milliseconds = 1000;

/** Seconds from one edit to the next, rounded down. */
const EDIT_SECONDS = Math.floor(1 / CHANGES_PER_SECOND);

/** Generations as they travel: the first with all its parts, then edits with those that changed. */
export type FullSizeInput = { manifest: Manifest; texts: [string, string][] }[];

/**
 * Makes the generations that are played.
 *
 * @internal
 */
export function createFullSizeInput(): FullSizeInput {
  let configuration = createSizedConfiguration(twoYearSize.replicas);
  let before = createGeneration(configuration, 1);
  const input: FullSizeInput = [{ manifest: before.manifest, texts: [...before.texts] }];
  const count = Math.ceil(STEADY_SECONDS / EDIT_SECONDS);
  for (let edit = 0; edit < count; edit += 1) {
    configuration = createEdited(configuration, edit);
    const after = createGeneration(configuration, edit + 2);
    const known = before.texts;
    const texts = [...after.texts].filter(([hash]) => !known.has(hash));
    input.push({ manifest: after.manifest, texts });
    before = after;
  }
  return input;
}

/** The parts of a daemon that hold control state, joined as the daemon joins them. */
interface ControlState {
  clock: ManualClock;
  inForce: ActiveConfiguration;
  scheduler: Scheduler;
  claims: ClaimManager;
}

function createControlState(): ControlState {
  const clock = new ManualClock(1_000_000);
  const inForce = new ActiveConfiguration();
  const scheduler = new Scheduler({ clock, random: createRandom(1), emit: () => {} });
  const members = createMembers(twoYearSize.daemons);
  const daemons = members.map(({ id }) => id);
  scheduler.handle({ kind: 'daemons', self: daemons[0]!, daemons });
  inForce.subscribe(({ configuration }) =>
    scheduler.handle({ kind: 'replicas', replicas: configuration.register.replicas }),
  );
  const claims = new ClaimManager({
    self: members[0]!,
    clock,
    store: new MemoryPlatformStore({ clock }),
    transport: { call: () => new Promise(() => {}) },
    getMembers: () => members,
  });
  return { clock, inForce, scheduler, claims };
}

function reportLoads({ clock, scheduler, inForce }: ControlState): void {
  const { all } = getReportRate();
  const { replicas } = inForce.get()!.configuration.register;
  for (let index = 0; index < all; index += 1) {
    const { id } = replicas[index % replicas.length]!;
    const report = { replica: id, running: index % 16, waiting: 0, measuredAt: clock.now() };
    scheduler.handle({ kind: 'load-report', report });
  }
}

function putInForce({ inForce }: ControlState, { manifest, texts }: Generation): void {
  const { kind } = inForce.activate(manifest, texts);
  assert(kind === 'in-force', `generation ${manifest.generation} comes in force, not ${kind}`);
}

/** One daemon goes, and the one that went before is back. */
function changeMembers({ claims, scheduler }: ControlState, gone: number): void {
  const ids = createMembers(twoYearSize.daemons).map(({ id }) => id);
  const [self] = ids;
  const daemons = ids.filter((id, index) => index === 0 || index !== gone);
  scheduler.handle({ kind: 'daemons', self: self!, daemons });
  claims.handleMembersChange();
}

/** One minute: reports every second, edits and comings and goings at their average rate. */
async function playSteadyControl(state: ControlState, edits: Generation[]): Promise<void> {
  let memberChanges = 0;
  for (let second = 0; second < STEADY_SECONDS; second += 1) {
    reportLoads(state);
    if (second % EDIT_SECONDS === 0) {
      putInForce(state, edits[second / EDIT_SECONDS]!);
    }
    memberChanges += MEMBER_CHANGES_PER_SECOND;
    if (memberChanges >= 1) {
      memberChanges -= 1;
      changeMembers(state, second);
    }
    // eslint-disable-next-line no-await-in-loop
    await advanceClock(state.clock, SECOND);
  }
}

/**
 * Loads the control state of the two-year size into the parts of one daemon and reads off what it
 * takes. To be run in a process of its own, whose memory is then the daemon's.
 *
 * @param read - brings the generations as a peer would; not called before the bare reading
 * @internal
 */
export async function measureFullSize(
  read: () => Promise<FullSizeInput>,
): Promise<FullSizeReading> {
  await settleHeap();
  const bare = process.memoryUsage();
  const [first, ...edits] = (await read()).map(({ manifest, texts }) => ({
    manifest,
    texts: new Map(texts),
  }));
  const state = createControlState();
  const loadTime = await measureProcessorTime(() => {
    putInForce(state, first!);
    reportLoads(state);
  });
  await settleHeap();
  const loaded = process.memoryUsage();
  const steady = await measureProcessorTime(() => playSteadyControl(state, edits));
  const after = process.memoryUsage();
  return {
    bareMegabytes: bare.rss / MEBIBYTE,
    loadedMegabytes: loaded.rss / MEBIBYTE,
    steadyMegabytes: after.rss / MEBIBYTE,
    heapMegabytes: (loaded.heapUsed - bare.heapUsed) / MEBIBYTE,
    loadTime,
    steadyCore: steady / (STEADY_SECONDS * SECOND),
    loaded: `${twoYearSize.replicas} replicas, ${twoYearSize.workspaces} workspaces, ${twoYearSize.models} models, ${twoYearSize.availabilityZones} availability zones in the configuration in force; the scheduler with a report of each replica; claims among ${twoYearSize.daemons} members`,
  };
}
