import { MemoryPlatformStore } from '@apricotrill/store';
import { ManualClock } from '@apricotrill/utils';
import { createConfiguration, setWeight } from '../../test/createConfiguration.js';
import { ConfigurationError, ConfigurationStore, MANIFEST_KEY } from '../../index.js';
import type { ConfigurationOptions } from '../../index.js';

const BASE = createConfiguration(2, 3);
/** More than a manifest lists as recent, fewer than are archived. */
const CHANGE_COUNT = 40;

function createStore(options: Partial<ConfigurationOptions> = {}) {
  const clock = new ManualClock();
  const platform = new MemoryPlatformStore({ clock });
  const store = new ConfigurationStore({ store: platform, clock, options });
  const apply = (changeId: string, baseGeneration: number, configuration = BASE) =>
    store.apply({ configuration, changeId, author: 'bo', baseGeneration });
  const applyMany = async (from: number, count: number) => {
    for (let base = from; base < from + count; base += 1) {
      // eslint-disable-next-line no-await-in-loop -- each change is based on the one before
      await apply(`later-${base}`, base, setWeight(BASE, 'workspace-1', 2 + (base % 5)));
    }
  };
  return { platform, store, apply, applyMany };
}

describe('ConfigurationStore', () => {
  // An operator's change was accepted, its confirmation lost, and others were accepted after it. On
  // the retry only the current manifest was checked, so a conflict was reported, and the operator
  // edited again and applied the change twice.
  it('finds a change whose confirmation was lost, with many accepted after it', async () => {
    const { platform, apply, applyMany } = createStore({ maxApplyAttempts: 1 });
    platform.applyFault({ kind: 'lose-answers', count: 1, keyPrefix: MANIFEST_KEY });
    const first = await apply('mine', 0);
    expect(first).toMatchObject({ kind: 'unavailable', mayBeAccepted: true });
    await applyMany(1, CHANGE_COUNT);
    const again = await apply('mine', 0);
    expect(again).toMatchObject({ kind: 'accepted', change: { generation: 1, changeId: 'mine' } });
  });

  it('reads back within one apply when the confirmation is lost', async () => {
    const { platform, store, apply } = createStore();
    platform.applyFault({ kind: 'lose-answers', count: 1, keyPrefix: MANIFEST_KEY });
    expect(await apply('mine', 0)).toMatchObject({ kind: 'accepted', change: { generation: 1 } });
    expect((await store.readManifest())!.generation).toBe(1);
  });

  // A retry undid what others had changed since: the confirmation of a change was lost, its author
  // retried with the same change id on the newest base, and only the generation after the new base
  // was checked.
  it('does not apply a change id again on a newer base', async () => {
    const { store, apply, applyMany } = createStore();
    await apply('mine', 0);
    await applyMany(1, 2);
    expect(await apply('mine', 3)).toMatchObject({ kind: 'accepted', change: { generation: 1 } });
    expect((await store.readManifest())!.generation).toBe(3);
  });

  it('rejects a change id that was used for different content', async () => {
    const { apply } = createStore();
    await apply('mine', 0);
    const other = apply('mine', 1, setWeight(BASE, 'workspace-0', 9));
    await expect(other).rejects.toThrow(ConfigurationError);
  });

  it('creates no generation for a change that changes nothing', async () => {
    const { store, apply } = createStore();
    await apply('first', 0);
    expect(await apply('second', 1)).toMatchObject({
      kind: 'unchanged',
      accepted: { generation: 1 },
    });
    expect((await store.readManifest())!.generation).toBe(1);
  });

  // An operator's edit was lost without notice: two operators edited the same base, and the second
  // update was not conditional on it.
  it('reports both sides of a conflict', async () => {
    const { apply } = createStore();
    await apply('first', 0);
    await apply('theirs', 1, setWeight(BASE, 'workspace-1', 5));
    const result = await apply('mine', 1, setWeight(BASE, 'workspace-2', 7));
    expect(result).toMatchObject({
      kind: 'conflict',
      accepted: { generation: 2, changeId: 'theirs' },
      theirs: [{ kind: 'changed', name: 'workspace-1', fields: [{ key: 'weight', to: 5 }] }],
      mine: [{ kind: 'changed', name: 'workspace-2', fields: [{ key: 'weight', to: 7 }] }],
    });
  });

  // Each change leaves an unused part behind: without garbage collection the store fills up.
  it('deletes what only expired generations reference, and keeps what conflicts need', async () => {
    const { platform, store, apply, applyMany } = createStore({ archivedGenerations: 2 });
    await apply('first', 0);
    await applyMany(1, CHANGE_COUNT);
    const before = (await platform.list('config/')).length;
    expect(await store.collectGarbage()).toMatchObject({ kind: 'collected' });
    expect((await platform.list('config/')).length).toBeLessThan(before);
    expect((await store.read())!.manifest.generation).toBe(CHANGE_COUNT + 1);
    expect((await store.readArchived(CHANGE_COUNT - 1))!.manifest.generation).toBe(
      CHANGE_COUNT - 1,
    );
    expect(await store.readArchived(CHANGE_COUNT - 2)).toBeUndefined();
    expect(await apply('mine', 1)).toMatchObject({ kind: 'forgotten' });
  });

  it('says that the store is unavailable, and that nothing can have been accepted', async () => {
    const { platform, apply } = createStore();
    platform.applyFault({ kind: 'down' });
    expect(await apply('mine', 0)).toMatchObject({ kind: 'unavailable', mayBeAccepted: false });
  });

  it('rejects reads and changes when the stored manifest is invalid', async () => {
    const { platform, store, apply } = createStore();
    await platform.put(MANIFEST_KEY, '{"generation":"two"}', 0);
    await expect(store.read()).rejects.toThrow(/config\/manifest does not hold a manifest/);
    await expect(apply('mine', 0)).rejects.toThrow(ConfigurationError);
  });
});
