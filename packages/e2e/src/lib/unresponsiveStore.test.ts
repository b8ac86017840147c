import type { StoreFault } from '@apricotrill/store';
import { Fleet } from '../test/Fleet.js';
import { FleetCaller } from '../test/FleetCaller.js';
import { placeHolds, startShards } from '../test/shards.js';

const TEST_TIMEOUT_MS = 120_000;

describe('a platform that is silent or slow', () => {
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

  // Symptom: an accepted change never comes into force, and nothing looks wrong. Sequence: watches
  // are taken and never answered; a change is accepted. Cause: a watch with nothing to tell and one
  // that tells nothing look the same, and nobody asks beside it.
  it(
    'puts a change in force though watches are silent',
    async () => {
      await changeUnder({ kind: 'silent-watches' });
    },
    TEST_TIMEOUT_MS,
  );

  // The same, where something in between has lost track of the connections that are open.
  it(
    'puts a change in force though its connections went silent',
    async () => {
      await changeUnder({ kind: 'silence-connections' });
    },
    TEST_TIMEOUT_MS,
  );

  // Symptom: holds wait for the store or are refused while it is slow. Sequence: each answer of the
  // store takes longer than a hold may. Cause: nobody but the store is asked for the grant.
  it(
    'puts a change in force and places holds while the store is slow',
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
