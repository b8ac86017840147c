import { Fleet } from '../test/Fleet.js';
import type { FleetDaemon } from '../test/FleetDaemon.js';

/** Long enough for the mesh to declare frozen daemons dead. */
const TEST_TIMEOUT_MS = 120_000;

describe('configuration versions at each daemon', () => {
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

  // Guards against an older version that comes into force after a newer one. A daemon is frozen
  // while changes are accepted and resumes with an old version. Other daemons start while the store
  // is slow or down, so that this daemon is the first to answer them.
  it(
    'never go back when daemons are frozen, resumed or restarted',
    async () => {
      const [first, second, third] = fleet.daemons as [FleetDaemon, FleetDaemon, FleetDaemon];

      third.freeze();
      await waitForAll([first, second], await change());
      third.resume();
      await third.waitForGeneration(accepted);

      // The resumed daemon is the only peer that answers the starting one, and its version is old.
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

      // During an outage, the daemon can only get its configuration from its peers.
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
