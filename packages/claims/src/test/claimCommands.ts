import fc from 'fast-check';
import type { ClaimOutcome } from '../lib/claimTypes.js';
import type { ClaimWorld, Role } from './ClaimWorld.js';
import { drain } from './TestCluster.js';
import type { TestDaemon } from './TestDaemon.js';

/** The commands need no model: the history is the oracle. */
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

function onDaemon(label: string, act: Act): fc.Arbitrary<Command> {
  return role.map(
    (picked) => new Command(`${label}(${picked})`, (world) => act(world, world.pick(picked))),
  );
}

const claim = fc
  .tuple(role, fc.nat({ max: KEYS - 1 }), fc.nat({ max: 9 }))
  .map(
    ([index, key, print]) =>
      new Command(`claim(${index}, k${key})`, (world) =>
        world.claim(world.pick(index), `k${key}`, print === 0 ? 'other' : 'print'),
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
    ([span, flow]) =>
      new Command(`advance(${span}, ${flow})`, (world) => world.advance(span, flow)),
  );

const store = fc
  .constantFrom('down', 'up', 'lose')
  .map((kind) => new Command(`store(${kind})`, ({ cluster }) => cluster.store.fault(kind)));

const joinStore = fc.constant(
  new Command('join-store', ({ cluster }) => cluster.store.cut.clear()),
);

const cutStore = onDaemon('cut-store', ({ cluster }, { member }) =>
  cluster.store.cut.add(member.id),
);

const cutPeers = fc
  .tuple(role, role)
  .map(
    ([left, right]) =>
      new Command(`cut(${left}, ${right})`, (world) =>
        world.cluster.cut(world.pick(left), world.pick(right)),
      ),
  );

const heal = fc.constant(new Command('heal', ({ cluster }) => cluster.cuts.clear()));

const loseReply = fc.constant(new Command('lose-reply', ({ cluster }) => cluster.loseReply()));

const look = fc.tuple(role, fc.nat({ max: 15 })).map(
  ([index, hidden]) =>
    new Command(`look(${index}, hidden ${hidden})`, (world) => {
      const members = world.cluster
        .getLive()
        // eslint-disable-next-line no-bitwise
        .filter((_, place) => ((hidden >> place) & 1) === 0);
      world.pick(index).look(members);
    }),
);

const lookAll = fc.constant(new Command('look-all', ({ cluster }) => cluster.lookAll()));

const pause = onDaemon('pause', (_, daemon) => daemon.pause());

const resume = onDaemon('resume', (_, daemon) => daemon.resume());

const restart = onDaemon('restart', ({ cluster }, daemon) => {
  cluster.restart(daemon);
});

const restartBoth = fc.constant(
  new Command('restart-both', (world) => {
    const ends = [world.pick('owner'), world.pick('witness')];
    ends.forEach((daemon) => world.cluster.restart(daemon));
    world.cluster.lookAll();
  }),
);

const crash = onDaemon('crash', (_, daemon) => daemon.crash());

const mend = fc.constant(new Command('mend', (world) => world.mend()));

/** Sequences of everything that can happen. */
export const claimCommands = fc.commands(
  [
    ...Array<typeof claim>(8).fill(claim),
    ...Array<typeof advance>(8).fill(advance),
    ...Array<typeof settle>(3).fill(settle),
    ...Array<typeof mend>(3).fill(mend),
    deliver,
    store,
    joinStore,
    cutStore,
    cutPeers,
    heal,
    loseReply,
    look,
    lookAll,
    pause,
    resume,
    restart,
    restartBoth,
    crash,
  ],
  { maxCommands: 100, size: 'max' },
);
