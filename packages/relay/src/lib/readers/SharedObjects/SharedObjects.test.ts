import { ManualClock } from '@apricotrill/utils';
import { SharedObjects } from './SharedObjects.js';

describe('SharedObjects', () => {
  function setUp() {
    const clock = new ManualClock();
    const store: { revision: number | undefined; era: number } = { revision: 5, era: 2 };
    const objects = new SharedObjects<string>(
      clock,
      'epoch-1',
      () => {
        const { revision, era } = store;
        return revision === undefined ? undefined : { revision, era };
      },
      () => 0,
    );
    return { clock, store, objects };
  }

  it('returns all objects to a daemon without a token', async () => {
    const { objects } = setUp();
    objects.update(new Map([['a', 'one']]));
    expect(await objects.getState('', 0)).toEqual({
      token: 'epoch-1.1',
      revision: 5,
      era: 2,
      isWhole: true,
      changes: [['a', 'one']],
    });
  });

  it('returns each object that changed since a token once, and deleted objects as null', async () => {
    const { objects } = setUp();
    objects.update(new Map([['a', 'one']]));
    objects.update(new Map([['a', 'two']]));
    objects.update(new Map([['b', 'three']]));
    const state = await objects.getState('epoch-1.1', 0);
    expect(state?.isWhole).toBe(false);
    expect(new Map(state!.changes)).toEqual(
      new Map([
        ['a', null],
        ['b', 'three'],
      ]),
    );
  });

  it('responds to a waiting daemon as soon as there is a change', async () => {
    const { objects } = setUp();
    objects.update(new Map());
    const pending = objects.getState('epoch-1.1', 1_000);
    objects.update(new Map([['a', 'one']]));
    expect((await pending)?.changes).toEqual([['a', 'one']]);
  });

  it('responds without changes once the wait is over', async () => {
    const { clock, store, objects } = setUp();
    objects.update(new Map());
    const pending = objects.getState('epoch-1.1', 1_000);
    store.revision = 9;
    clock.advance(1_000);
    expect(await pending).toEqual({
      token: 'epoch-1.1',
      revision: 9,
      era: 2,
      isWhole: false,
      changes: [],
    });
  });

  // Guards against daemons that miss changes because the versions of a reader start over after a
  // restart.
  it('returns all objects for a token from before a restart', async () => {
    const { objects } = setUp();
    objects.update(new Map([['a', 'one']]));
    expect((await objects.getState('epoch-0.1', 1_000))?.isWhole).toBe(true);
    expect((await objects.getState('epoch-1.7', 1_000))?.isWhole).toBe(true);
  });

  it('returns all objects to a daemon that is far behind', async () => {
    const { objects } = setUp();
    for (let index = 0; index < 200; index += 1) {
      objects.update(new Map([['a', String(index)]]));
    }
    const state = await objects.getState('epoch-1.3', 0);
    expect(state?.isWhole).toBe(true);
    expect(state?.changes).toEqual([['a', '199']]);
  });

  // Guards against a daemon that returns outdated objects as current while it cannot reach the store.
  it('returns nothing while it cannot reach the store', async () => {
    const { store, objects } = setUp();
    objects.update(new Map([['a', 'one']]));
    store.revision = undefined;
    expect(await objects.getState('', 1_000)).toBeUndefined();
    expect(await objects.getState('epoch-1.1', 1_000)).toBeUndefined();
  });
});
