import { ExitCode } from '@apricotrill/cli';
import { Fleet } from '../test/Fleet.js';
import { FleetCaller } from '../test/FleetCaller.js';
import type { FleetDaemon } from '../test/FleetDaemon.js';
import { placeHolds, startShards } from '../test/shards.js';

/** Long enough for leases to expire and for the mesh to declare daemons dead. */
const TEST_TIMEOUT_MS = 120_000;

const DOWN = { kind: 'down' } as const;

const UP = { kind: 'up' } as const;

describe('a long outage of the platform', () => {
  const fleet = new Fleet();
  const caller = new FleetCaller();
  let holder: FleetDaemon;

  beforeAll(async () => {
    await fleet.prepare();
    await fleet.backends.startBackend('engines', ['--checks-fencing']);
    await fleet.backends.startBackend('portal');
    await fleet.start(3);
    await startShards(fleet.daemons, caller);
    holder = await fleet.waitForHolder();
  }, TEST_TIMEOUT_MS);

  afterAll(() => fleet.dispose());

  // Guards against checks and holds that fail with the store, and against lost changes. The store
  // is down until leases expire, while calls go on, keys are repeated at other daemons, a daemon
  // joins, and an operator applies a change. Requests must not need the store, and a shard must not
  // be handed over to a daemon that cannot take it.
  it(
    'does not interrupt requests and delays a change until it ends',
    async () => {
      const [first, second, third] = fleet.daemons as [FleetDaemon, FleetDaemon, FleetDaemon];
      await fleet.platform.injectFault(DOWN);

      const isolated = await fleet.addDaemon({ seeds: [] });
      await isolated.start();
      const seeds = [first.meshPort, second.meshPort];
      const late = await fleet.addDaemon({ seeds });
      await late.start();

      const keys = await placeHolds(caller, first);
      await Promise.all(keys.map((key) => caller.placeHold(second, key)));
      expect((await caller.checkArtwork(third, '17')).end.kind).toBe('answered');
      expect((await caller.chat(third, 20)).end.kind).toBe('answered');

      // The late daemon gets its configuration from its peers. The isolated daemon has no peers.
      await late.waitUntilReady();
      expect(await isolated.isReady()).toBe(false);
      expect((await caller.chat(late, 20)).end.kind).toBe('answered');

      const status = await fleet.runCommand('status', ...fleet.getDaemonOptions([first]));
      expect(status.code).toBe(ExitCode.Unavailable);
      expect(status.output).toMatch(/^accepted: unknown.*generation 1 is in force at 4 of 4/s);

      // By then, every daemon knows the late one, and any shards that would move to it have moved.
      await holder.waitForDecision('placement', ({ kind }) => kind === 'lease-lost');
      await placeHolds(caller, late);
      await placeHolds(caller, third);

      const files = fleet.getFiles();
      Object.assign(files.register.workspaces[0]!, { weight: 2 });
      const edit = await fleet.writeFiles(files);
      const rejected = await fleet.runCommand('apply', '--base', '1', '--timeout', '0', ...edit);
      expect(rejected.code).toBe(ExitCode.Unavailable);
      expect(rejected.output).toContain('nothing was applied');
      const wait = ['--base', '1', '--wait', ...fleet.getDaemonOptions([first])];
      const waiting = fleet.runCommand(
        'apply',
        ...wait,
        '--timeout',
        String(TEST_TIMEOUT_MS),
        ...edit,
      );
      await fleet.platform.injectFault(UP);
      expect((await waiting).code).toBe(ExitCode.Done);
      await Promise.all(fleet.daemons.map((daemon) => daemon.waitForGeneration(2)));
      await isolated.waitUntilReady();
      await placeHolds(caller, isolated);
      expect(await fleet.checkHistory(caller.calls)).toEqual([]);
    },
    TEST_TIMEOUT_MS,
  );
});
