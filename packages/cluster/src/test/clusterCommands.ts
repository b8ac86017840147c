import fc from 'fast-check';
import type { PlatformState } from '../bench/SimulatedPlatform.js';
import type { ClusterWorld } from './ClusterWorld.js';
import type { NetworkFaults } from './TestCluster.js';

/** A step of the fuzz: what it does to the world; its name is what a counterexample shows. */
class Step implements fc.Command<object, ClusterWorld> {
  constructor(
    private readonly name: string,
    private readonly act: (world: ClusterWorld) => void,
  ) {}

  // eslint-disable-next-line class-methods-use-this -- every step may come at any moment
  check(): boolean {
    return true;
  }

  run(_: object, world: ClusterWorld): void {
    this.act(world);
    world.check();
  }

  toString(): string {
    return this.name;
  }
}

const index = fc.nat({ max: 99 });

function onDaemon(name: string, act: (world: ClusterWorld, index: number) => void) {
  return index.map((which) => new Step(`${name}(${which})`, (world) => act(world, which)));
}

const run = fc
  .integer({ min: 50, max: 12_000 })
  .map((span) => new Step(`run(${span})`, (world) => world.run(span)));

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
  .map((faults) => new Step(`network(${fc.stringify(faults)})`, (world) => world.disturb(faults)));

const setPlatform = fc
  .constantFrom<Partial<PlatformState>>(
    { isDown: true },
    { isDown: false },
    { hasSilentWatches: true },
    { latency: 900 },
  )
  .map(
    (state) => new Step(`platform(${fc.stringify(state)})`, (w) => w.cluster.setPlatform(state)),
  );

const accept = fc.constant(new Step('accept', ({ cluster }) => cluster.accept()));
const cutRegions = fc.constant(new Step('cut-regions', (world) => world.cutRegions()));
const heal = fc.constant(new Step('heal-network', (world) => world.healNetwork()));

/** Everything that may happen to a cluster. */
export const clusterCommands = fc.commands(
  [
    run,
    run,
    run,
    accept,
    setFaults,
    setFaults,
    setPlatform,
    cutRegions,
    heal,
    onDaemon('crash', (world, which) => world.crash(which)),
    onDaemon('restart', (world, which) => world.restart(which)),
    onDaemon('freeze', (world, which) => world.pick(which).clock.freeze()),
    onDaemon('thaw', (world, which) => world.pick(which).clock.thaw()),
    onDaemon('isolate', (world, which) => world.isolate(which)),
    onDaemon('cut-zone', (world, which) => world.cutZone(which)),
    onDaemon('leave', (world, which) => world.leave(which)),
    onDaemon('tell-replica', (world, which) => world.tellReplica(which)),
  ],
  { maxCommands: 40 },
);
