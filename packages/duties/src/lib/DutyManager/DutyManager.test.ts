import { advanceClock } from '@apricotrill/standins';
import { ObjectStore } from '@apricotrill/store';
import { ManualClock, createRandom } from '@apricotrill/utils';
import { FakePlatform } from '../../test/FakePlatform.js';
import { getWindow } from '../usage/SourceUsage.js';
import type { DutyEvent } from '../DutyEvent.js';
import { DutyManager } from './DutyManager.js';

const WINDOW = 5_000;

describe('DutyManager', () => {
  const clock = new ManualClock(1_700_000_000_000);
  let events: DutyEvent[];
  let platform: FakePlatform;
  let isFailing: boolean;
  let manager: DutyManager;

  beforeEach(() => {
    events = [];
    platform = new FakePlatform(clock, createRandom(1));
    isFailing = false;
    const objects = new ObjectStore(clock);
    manager = new DutyManager({
      self: 'd-1',
      clock,
      getFleetTime: () => clock.now(),
      getTimeOfDay: () => {
        if (isFailing) {
          throw new Error('provoked error');
        }
        return clock.now();
      },
      store: {
        get: async (key) => objects.get(key),
        put: async (key, value, expected) => objects.put(key, value, expected),
      },
      platform,
      settings: { windowSpan: WINDOW, usageDelay: 2 * WINDOW, holderCooldown: 3_000 },
      getRank: () => 0,
      getServices: () => [],
      log: (event) => events.push(event),
    });
  });

  afterEach(() => manager.dispose());

  async function serve(): Promise<number> {
    const window = getWindow(clock.now(), WINDOW);
    manager.usage.merge({ source: 'd-1', window, counts: [['shop', 1]] });
    await advanceClock(clock, 4 * WINDOW);
    return window;
  }

  // Guards against a daemon that keeps the lease and reports no usage any more.
  it('goes on with its duties after an unexpected error outside of their steps', async () => {
    await advanceClock(clock, 30_000);
    expect(manager.status.isHolder).toBe(true);
    const first = await serve();
    expect(platform.reports.map(({ window }) => window)).toContain(first);
    isFailing = true;
    for (let step = 0; step < 60; step += 1) {
      // eslint-disable-next-line no-await-in-loop
      await advanceClock(clock, 100).catch(() => undefined);
    }
    isFailing = false;
    const second = await serve();
    expect(manager.status.isHolder).toBe(true);
    expect(platform.reports.map(({ window }) => window)).toContain(second);
  });
});
