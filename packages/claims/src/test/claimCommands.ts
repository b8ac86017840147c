import fc from 'fast-check';
import type { ClaimOutcome } from '../lib/claimTypes.js';
import type { ClaimWorld, Role } from './ClaimWorld.js';
import { drain } from './TestCluster.js';
import type { TestDaemon } from './TestDaemon.js';

/** The commands need no model, because the history is the oracle. */
type Model = Record<string, never>;

class Command implements fc.AsyncCommand<Model, ClaimWorld> {
  constructor(
    private readonly label: string,
    private readonly act: (world: ClaimWorld) => void | Promise<void>,
  ) {}

  // eslint-disable-next-line class-methods-use-this
  check(): boolean {
    return true;
  }

  async run(_: Model, world: ClaimWorld): Promise<void> {
    await this.act(world);
    await drain();
    world.check();
  }

  toString(): string {
    return this.label;
  }
}

const KEYS = 3;

const role = fc.constantFrom<Role[]>('owner', 'owner', 'witness', 'witness', 0, 1, 2, 3);

type Act = (world: ClaimWorld, daemon: TestDaemon) => void;

function createDaemonCommand(label: string, act: Act): fc.Arbitrary<Command> {
  return role.map(
    (picked) => new Command(`${label}(${picked})`, (world) => act(world, world.getDaemon(picked))),
  );
}

const claim = fc
  .tuple(role, fc.nat({ max: KEYS - 1 }), fc.nat({ max: 9 }))
  .map(
    ([index, key, print]) =>
      new Command(`claim(${index}, k${key})`, (world) =>
        world.claim(world.getDaemon(index), `k${key}`, print === 0 ? 'other' : 'print'),
      ),
  );

const settle = fc
  .tuple(
    fc.nat({ max: 5 }),
    fc.constantFrom<ClaimOutcome['kind'][]>('answered', 'not-run', 'unknown'),
  )
  .map(
    ([pick, kind]) => new Command(`settle(${pick}, ${kind})`, (world) => world.settle(pick, kind)),
  );

const deliver = fc
  .integer({ min: 1, max: 12 })
  .map((count) => new Command(`deliver(${count})`, (world) => world.deliver(count)));

const advance = fc
  .tuple(fc.constantFrom(10, 60, 250, 600, 1200, 11_000, 33_000), fc.constantFrom(0, 2, 50, 50, 50))
  .map(
    ([span, deliveriesPerStep]) =>
      new Command(`advance(${span}, ${deliveriesPerStep})`, (world) =>
        world.advance(span, deliveriesPerStep),
      ),
  );

const store = fc
  .constantFrom('down', 'up', 'lose')
  .map((kind) => new Command(`store(${kind})`, ({ cluster }) => cluster.store.setFault(kind)));

const joinStore = fc.constant(
  new Command('join-store', ({ cluster }) => cluster.store.unreachableFrom.clear()),
);

const cutStore = createDaemonCommand('cut-store', ({ cluster }, { member }) =>
  cluster.store.unreachableFrom.add(member.id),
);

const cutPeers = fc
  .tuple(role, role)
  .map(
    ([left, right]) =>
      new Command(`cut(${left}, ${right})`, (world) =>
        world.cluster.breakLink(world.getDaemon(left), world.getDaemon(right)),
      ),
  );

const heal = fc.constant(new Command('heal', ({ cluster }) => cluster.brokenLinks.clear()));

const loseResponse = fc.constant(
  new Command('lose-response', ({ cluster }) => cluster.loseResponse()),
);

const setMembers = fc.tuple(role, fc.nat({ max: 15 })).map(
  ([index, hidden]) =>
    new Command(`set-members(${index}, hidden ${hidden})`, (world) => {
      const members = world.cluster
        .getLive()
        // eslint-disable-next-line no-bitwise
        .filter((_, place) => ((hidden >> place) & 1) === 0);
      world.getDaemon(index).setMembers(members);
    }),
);

const updateAllMembers = fc.constant(
  new Command('update-all-members', ({ cluster }) => cluster.updateAllMembers()),
);

const pause = createDaemonCommand('pause', (_, daemon) => daemon.pause());

const resume = createDaemonCommand('resume', (_, daemon) => daemon.resume());

const restart = createDaemonCommand('restart', ({ cluster }, daemon) => {
  cluster.restart(daemon);
});

const restartBoth = fc.constant(
  new Command('restart-both', (world) => {
    const ends = [world.getDaemon('owner'), world.getDaemon('witness')];
    ends.forEach((daemon) => world.cluster.restart(daemon));
    world.cluster.updateAllMembers();
  }),
);

const crash = createDaemonCommand('crash', (_, daemon) => daemon.crash());

const clearFaults = fc.constant(new Command('clear-faults', (world) => world.clearFaults()));

/** Sequences of all kinds of events. */
export const claimCommands = fc.commands(
  [
    ...Array<typeof claim>(8).fill(claim),
    ...Array<typeof advance>(8).fill(advance),
    ...Array<typeof settle>(3).fill(settle),
    ...Array<typeof clearFaults>(3).fill(clearFaults),
    deliver,
    store,
    joinStore,
    cutStore,
    cutPeers,
    heal,
    loseResponse,
    setMembers,
    updateAllMembers,
    pause,
    resume,
    restart,
    restartBoth,
    crash,
  ],
  { maxCommands: 100, size: 'max' },
);
