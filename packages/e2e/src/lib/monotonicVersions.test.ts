import { Fleet } from '../test/Fleet.js';
import type { FleetDaemon } from '../test/FleetDaemon.js';

/** For what has to outlast the patience of membership. */
const TEST_TIMEOUT_MS = 120_000;

describe('versions at each daemon', () => {
  const fleet = new Fleet();
  let accepted = 1;

  beforeAll(async () => {
    await fleet.prepare();
    await fleet.backends.startBackend('portal');
    await fleet.start(3);
  }, TEST_TIMEOUT_MS);

  afterAll(() => fleet.dispose());

  async function change(): Promise<number> {
    accepted = await fleet.apply(accepted, ({ register }) => {
      Object.assign(register.workspaces[0]!, { weight: accepted + 1 });
    });
    return accepted;
  }

  function waitForAll(daemons: readonly FleetDaemon[], generation: number) {
    return Promise.all(daemons.map((daemon) => daemon.waitForGeneration(generation)));
  }

  // Symptom: callers of one daemon see an older version after a newer one. Sequence: a daemon is
  // frozen while changes are accepted and wakes with an old view; others start again next to it,
  // with the store slow and then down, so that it is the first to answer them. Cause: whatever a
  // peer brings is put in force, or the first configuration that comes to a daemon that starts.
  it(
    'never go back, whoever sleeps, wakes or starts again',
    async () => {
      const [first, second, third] = fleet.daemons as [FleetDaemon, FleetDaemon, FleetDaemon];

      third.freeze();
      await waitForAll([first, second], await change());
      third.resume();
      await third.waitForGeneration(accepted);

      // The woken one is the only peer that answers the one that starts, and is behind.
      third.freeze();
      await waitForAll([first, second], await change());
      await first.stop();
      second.freeze();
      await fleet.platform.injectFault({ kind: 'slow', delayMs: 1500 });
      await first.start();
      third.resume();
      await waitForAll([first, third], accepted);
      second.resume();
      await fleet.platform.injectFault({ kind: 'up' });

      // In an outage all it can know comes from its peers.
      await waitForAll(fleet.daemons, await change());
      await fleet.platform.injectFault({ kind: 'down' });
      await second.kill();
      await second.start();
      await second.waitUntilReady();
      await second.waitForGeneration(accepted);
      await fleet.platform.injectFault({ kind: 'up' });

      await waitForAll(fleet.daemons, await change());
      await fleet.waitUntilJoined();
      expect(await fleet.checkHistory([])).toEqual([]);
    },
    TEST_TIMEOUT_MS,
  );
});
