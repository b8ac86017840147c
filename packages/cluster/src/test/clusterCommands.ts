import fc from 'fast-check';
import type { PlatformState } from '../bench/SimulatedPlatform.js';
import type { ClusterWorld } from './ClusterWorld.js';
import type { NetworkFaults } from './TestCluster.js';

/** A fuzz command. Its name is printed in counterexamples. */
class WorldCommand implements fc.Command<object, ClusterWorld> {
  constructor(
    private readonly name: string,
    private readonly act: (world: ClusterWorld) => void,
  ) {}

  // eslint-disable-next-line class-methods-use-this -- every command may run in any state
  check(): boolean {
    return true;
  }

  run(_: object, world: ClusterWorld): void {
    this.act(world);
    world.checkInvariants();
  }

  toString(): string {
    return this.name;
  }
}

const daemonIndex = fc.nat({ max: 99 });

function createDaemonCommand(name: string, act: (world: ClusterWorld, index: number) => void) {
  return daemonIndex.map(
    (index) => new WorldCommand(`${name}(${index})`, (world) => act(world, index)),
  );
}

const run = fc
  .integer({ min: 50, max: 12_000 })
  .map((span) => new WorldCommand(`run(${span})`, (world) => world.run(span)));

const setFaults = fc
  .constantFrom<Partial<NetworkFaults>>(
    { lossShare: 0 },
    { lossShare: 0.05 },
    { lossShare: 0.25 },
    { duplicateShare: 0 },
    { duplicateShare: 0.3 },
    { maxDelay: 5 },
    { maxDelay: 100 },
    { maxDelay: 700 },
  )
  .map(
    (faults) =>
      new WorldCommand(`network(${fc.stringify(faults)})`, (world) => world.setFaults(faults)),
  );

const setPlatform = fc
  .constantFrom<Partial<PlatformState>>(
    { isDown: true },
    { isDown: false },
    { hasSilentWatches: true },
    { latency: 900 },
  )
  .map(
    (state) =>
      new WorldCommand(`platform(${fc.stringify(state)})`, (w) => w.cluster.setPlatform(state)),
  );

const accept = fc.constant(new WorldCommand('accept', ({ cluster }) => cluster.acceptChange()));
const partitionRegions = fc.constant(
  new WorldCommand('partition-regions', (world) => world.partitionRegions()),
);
const healNetwork = fc.constant(new WorldCommand('heal-network', (world) => world.healNetwork()));

/** Generates sequences of the faults and changes that a cluster must withstand. */
export const clusterCommands = fc.commands(
  [
    run,
    run,
    run,
    accept,
    setFaults,
    setFaults,
    setPlatform,
    partitionRegions,
    healNetwork,
    createDaemonCommand('crash', (world, index) => world.crash(index)),
    createDaemonCommand('restart', (world, index) => world.restart(index)),
    createDaemonCommand('freeze', (world, index) => world.getDaemon(index).clock.freeze()),
    createDaemonCommand('thaw', (world, index) => world.getDaemon(index).clock.thaw()),
    createDaemonCommand('isolate', (world, index) => world.isolate(index)),
    createDaemonCommand('isolate-zone', (world, index) => world.isolateZone(index)),
    createDaemonCommand('leave', (world, index) => world.announceLeaving(index)),
    createDaemonCommand('report-replica-leaving', (world, index) =>
      world.reportReplicaLeaving(index),
    ),
  ],
  { maxCommands: 40 },
);
