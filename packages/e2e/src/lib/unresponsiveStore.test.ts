import type { StoreFault } from '@apricotrill/store';
import { Fleet } from '../test/Fleet.js';
import { FleetCaller } from '../test/FleetCaller.js';
import { placeHolds, startShards } from '../test/shards.js';

const TEST_TIMEOUT_MS = 120_000;

describe('a platform that does not respond or is slow', () => {
  const fleet = new Fleet();
  const caller = new FleetCaller();
  let generation = 1;

  beforeAll(async () => {
    await fleet.prepare();
    await fleet.backends.startBackend('portal');
    await fleet.start(3);
    await startShards(fleet.daemons, caller);
  }, TEST_TIMEOUT_MS);

  afterEach(() => fleet.platform.injectFault({ kind: 'up' }));

  afterAll(() => fleet.dispose());

  async function changeUnder(fault: StoreFault): Promise<void> {
    await fleet.platform.injectFault(fault);
    generation = await fleet.apply(generation, ({ register }) => {
      Object.assign(register.workspaces[0]!, { weight: generation + 1 });
    });
    await Promise.all(fleet.daemons.map((daemon) => daemon.waitForGeneration(generation)));
  }

  // Guards against an accepted change that never comes into force, without any error. The store
  // accepts watches but never answers them, which looks the same as a watch without news. Daemons
  // must also poll.
  it(
    'puts a change into force although watches are never answered',
    async () => {
      await changeUnder({ kind: 'silent-watches' });
    },
    TEST_TIMEOUT_MS,
  );

  // The same when a device between daemon and store loses track of open connections.
  it(
    'puts a change into force although its connections stopped responding',
    async () => {
      await changeUnder({ kind: 'silence-connections' });
    },
    TEST_TIMEOUT_MS,
  );

  // Guards against holds that wait for a slow store or are refused. Each response of the store
  // takes longer than a hold may, so the grant must not depend on the store alone.
  it(
    'puts a change into force and places holds while the store is slow',
    async () => {
      await changeUnder({ kind: 'slow', delayMs: 1500 });
      const [first, second] = fleet.daemons;
      const keys = await placeHolds(caller, first!);
      await Promise.all(keys.map((key) => caller.placeHold(second!, key)));
      expect(await fleet.checkHistory(caller.calls)).toEqual([]);
    },
    TEST_TIMEOUT_MS,
  );
});
