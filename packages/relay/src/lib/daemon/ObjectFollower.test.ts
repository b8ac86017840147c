import { ManualClock, createRandom } from '@apricotrill/utils';
import type { ObjectSource } from '../follow/StateFollower/ObjectSource.js';
import type { PeerEntry } from '../peers/PeerDirectory.js';
import { ReaderSelector } from '../readers/ReaderSelector/ReaderSelector.js';
import type { ReaderResult } from '../readers/SharedSource/SharedSource.js';
import { ObjectFollower } from './ObjectFollower.js';

const SHARED_WAIT = 750;

const DAEMONS: PeerEntry[] = Array.from({ length: 20 }, (_item, index) => ({
  id: `d-${index}`,
  address: `d-${index}:7000`,
  availabilityZone: 'a',
}));

async function settle(): Promise<void> {
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
}

describe('ObjectFollower', () => {
  async function advance(clock: ManualClock, duration: number): Promise<void> {
    for (let passed = 0; passed < duration; passed += 50) {
      clock.advance(50);
      // eslint-disable-next-line no-await-in-loop
      await settle();
    }
  }

  /** A daemon that is no reader, and that reaches neither the readers nor the store while it is cut off. */
  async function setUp(seed = 1) {
    const clock = new ManualClock();
    const network = { isCut: false, revision: 5, storeCalls: 0 };
    const known: string[][] = [];
    const getItems = () => new Map([[`item-${network.revision}`, 'x']]);
    const store: ObjectSource<string> = {
      list: () => Promise.resolve({ items: getItems(), revision: network.revision }),
      watch: () => {
        network.storeCalls += 1;
        return network.isCut ? Promise.reject(new Error('no connection')) : new Promise(() => {});
      },
    };
    const readPeer = async (): Promise<ReaderResult<string>> => {
      if (network.isCut) {
        return { kind: 'silent', error: new Error('no connection') };
      }
      await new Promise<void>((resolve) => {
        clock.setTimer(100, resolve);
      });
      const { revision } = network;
      const state = { token: `${revision}`, revision, isWhole: true };
      return {
        kind: 'state',
        age: 0,
        transferTime: 0,
        state: { ...state, changes: [...getItems()] },
      };
    };
    const createSelector = (self: PeerEntry) => {
      const selector = new ReaderSelector({ clock, random: createRandom(seed), self });
      selector.setDaemons(DAEMONS);
      return selector;
    };
    const follower = new ObjectFollower<string>({
      dependency: 'configuration',
      store,
      selector: DAEMONS.map(createSelector).find(({ isReader }) => !isReader)!,
      readPeer,
      onObjects: (items) => known.push([...items.keys()]),
      onRestored: () => undefined,
      clock,
      random: createRandom(seed),
      log: () => undefined,
      sharedWait: SHARED_WAIT,
      epoch: 'epoch',
    });
    follower.run().catch((error: unknown) => known.push([String(error)]));
    await advance(clock, 1_000);
    return { clock, network, follower, known };
  }

  // Guards against a daemon that still pauses its calls seconds after it reaches everything again.
  it.each([3_000, 4_000, 5_000, 6_000, 7_000, 8_000])(
    'learns a change soon after a cut of %d ms once others announce it',
    async (cut) => {
      const { clock, network, follower, known } = await setUp(cut);
      network.isCut = true;
      await advance(clock, cut);
      network.revision = 6;
      network.isCut = false;
      follower.recordPeerPosition({ revision: 6 });
      await advance(clock, 2_000);
      // The deletion of the other item may only mean that it expired during the outage.
      expect(known.at(-1)).toEqual(['item-5', 'item-6']);
      follower.dispose();
    },
  );

  // Guards against calls of a whole fleet at the rate of its datagrams while the store is down.
  it('calls the store again at most once a second while others announce a change', async () => {
    const { clock, network, follower } = await setUp();
    network.isCut = true;
    await advance(clock, 5_000);
    const before = network.storeCalls;
    for (let passed = 0; passed < 10_000; passed += 50) {
      follower.recordPeerPosition({ revision: 6 });
      // eslint-disable-next-line no-await-in-loop
      await advance(clock, 50);
    }
    expect(network.storeCalls - before).toBeLessThanOrEqual(11);
    follower.dispose();
  });

  it('announces the changes that it received from a reader', async () => {
    const { clock, network, follower } = await setUp();
    network.revision = 7;
    await advance(clock, 1_000);
    expect(follower.lastChangePosition).toEqual({ era: undefined, revision: 7 });
    follower.dispose();
  });
});
