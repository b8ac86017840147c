import { ManualClock, createRandom } from '@apricotrill/utils';
import type { PlacementMessage, QuarantinedContent } from '../../decide/messages.js';
import type { QuarantineStore } from '../QuarantineStore.js';
import { QuarantineSync, syncOptions } from './QuarantineSync.js';

const VALID: QuarantinedContent = { fingerprint: 'a', remaining: 1_000, replicas: ['i-1'] };
const EXPIRED: QuarantinedContent = { fingerprint: 'b', remaining: 0, replicas: ['i-2'] };

function createSync(failures: number) {
  const clock = new ManualClock();
  const entries = new Map([VALID, EXPIRED].map((entry) => [entry.fingerprint, entry]));
  const calls: string[] = [];
  let failuresLeft = failures;
  const attempt = (call: string) => {
    calls.push(call);
    if (failuresLeft > 0) {
      failuresLeft -= 1;
      throw new Error('unavailable');
    }
  };
  const store: QuarantineStore = {
    add: async (request) => {
      attempt('add');
      entries.set(request.fingerprint, request);
    },
    list: async () => {
      attempt('list');
      return [...entries.values()];
    },
    remove: async (fingerprint) => {
      attempt('remove');
      entries.delete(fingerprint);
    },
  };
  const messages: PlacementMessage[] = [];
  const sync = new QuarantineSync({
    clock,
    random: createRandom(1),
    log: () => undefined,
    store,
    dispatch: (message) => messages.push(message),
  });
  return { clock, entries, calls, messages, sync };
}

/** Settles pending promises and advances the clock past retry delays. */
async function advance(clock: ManualClock): Promise<void> {
  for (let step = 0; step < 20; step += 1) {
    // eslint-disable-next-line no-await-in-loop
    await Promise.resolve();
    clock.advance(syncOptions.maxDelay / 4);
  }
}

describe('QuarantineSync', () => {
  it('loads valid entries and removes expired ones', async () => {
    const { sync, messages, entries } = createSync(0);
    await sync.load();
    expect(messages).toEqual([{ kind: 'quarantine', contents: [VALID] }]);
    expect([...entries.keys()]).toEqual(['a']);
  });

  it('releases entries whose term was ended in the store, and removes them', async () => {
    const { sync, messages, entries } = createSync(0);
    await sync.release();
    expect(messages).toEqual([{ kind: 'release', fingerprint: 'b' }]);
    expect([...entries.keys()]).toEqual(['a']);
  });

  // Guards against losing entries with a store that came back from an older copy.
  it('writes its entries again with the time that is left, and not those that are over', async () => {
    const { sync, clock, entries } = createSync(0);
    entries.clear();
    await sync.save({ fingerprint: 'c', remaining: 5_000, replicas: ['i-1'] });
    await sync.save({ fingerprint: 'd', remaining: 1_000, replicas: ['i-1'] });
    await sync.save({ fingerprint: 'e', remaining: 5_000, replicas: ['i-1'] });
    await sync.remove('e');
    entries.clear();
    clock.advance(2_000);
    await sync.saveAgain();
    expect([...entries.values()]).toEqual([
      { fingerprint: 'c', remaining: 3_000, replicas: ['i-1'] },
    ]);
  });

  // Guards against losing entries during a store outage.
  it('retries calls until the store responds', async () => {
    const { sync, clock, messages, entries, calls } = createSync(2);
    const loading = sync.load();
    await advance(clock);
    await loading;
    expect(calls.slice(0, 3)).toEqual(['list', 'list', 'list']);
    expect(messages).toHaveLength(1);
    await sync.save({ ...VALID, fingerprint: 'c' });
    expect(entries.has('c')).toBe(true);
  });

  it('stops retrying when disposed', async () => {
    const { sync, clock, calls, messages } = createSync(1);
    sync.load().catch(() => undefined);
    await advance(clock);
    const before = calls.length;
    sync.dispose();
    await advance(clock);
    expect(calls).toHaveLength(before);
    expect(messages.length).toBeLessThanOrEqual(1);
  });
});
