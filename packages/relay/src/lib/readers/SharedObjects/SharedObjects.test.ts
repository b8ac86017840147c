import { ManualClock } from '@apricotrill/utils';
import { SharedObjects } from './SharedObjects.js';

describe('SharedObjects', () => {
  function setUp() {
    const clock = new ManualClock();
    const store: { revision: number | undefined } = { revision: 5 };
    const objects = new SharedObjects<string>(clock, 'life-1', () => store.revision);
    return { clock, store, objects };
  }

  it('tells everything to a daemon that knows nothing', async () => {
    const { objects } = setUp();
    objects.update(new Map([['a', 'one']]));
    expect(await objects.ask('', 0)).toEqual({
      token: 'life-1.1',
      revision: 5,
      isWhole: true,
      changes: [['a', 'one']],
    });
  });

  it('tells what changed since a token, each object once, and what is gone', async () => {
    const { objects } = setUp();
    objects.update(new Map([['a', 'one']]));
    objects.update(new Map([['a', 'two']]));
    objects.update(new Map([['b', 'three']]));
    const state = await objects.ask('life-1.1', 0);
    expect(state?.isWhole).toBe(false);
    expect(new Map(state!.changes)).toEqual(
      new Map([
        ['a', null],
        ['b', 'three'],
      ]),
    );
  });

  it('answers a daemon that waits at the moment of a change', async () => {
    const { objects } = setUp();
    objects.update(new Map());
    const waiting = objects.ask('life-1.1', 1_000);
    objects.update(new Map([['a', 'one']]));
    expect((await waiting)?.changes).toEqual([['a', 'one']]);
  });

  it('answers with nothing new once the wait is over', async () => {
    const { clock, store, objects } = setUp();
    objects.update(new Map());
    const waiting = objects.ask('life-1.1', 1_000);
    store.revision = 9;
    clock.advance(1_000);
    expect(await waiting).toEqual({
      token: 'life-1.1',
      revision: 9,
      isWhole: false,
      changes: [],
    });
  });

  // Guards against daemons that take what an earlier life of a reader counted for what this one does.
  it('tells everything to a daemon with a token of another life', async () => {
    const { objects } = setUp();
    objects.update(new Map([['a', 'one']]));
    expect((await objects.ask('life-0.1', 1_000))?.isWhole).toBe(true);
    expect((await objects.ask('life-1.7', 1_000))?.isWhole).toBe(true);
  });

  it('tells everything to a daemon that is far behind', async () => {
    const { objects } = setUp();
    for (let index = 0; index < 200; index += 1) {
      objects.update(new Map([['a', String(index)]]));
    }
    const state = await objects.ask('life-1.3', 0);
    expect(state?.isWhole).toBe(true);
    expect(state?.changes).toEqual([['a', '199']]);
  });

  // Guards against a daemon that tells what it knew before the store left it, as if it were news.
  it('has no answer while the store gives it none', async () => {
    const { store, objects } = setUp();
    objects.update(new Map([['a', 'one']]));
    store.revision = undefined;
    expect(await objects.ask('', 1_000)).toBeUndefined();
    expect(await objects.ask('life-1.1', 1_000)).toBeUndefined();
  });
});
