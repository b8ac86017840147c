import { MemoryPlatformStore } from '@apricotrill/store';
import { ManualClock } from '@apricotrill/utils';
import { createConfiguration, setWeight } from '../../test/createConfiguration.js';
import { ConfigurationError, ConfigurationStore, MANIFEST_KEY } from '../../index.js';
import type { ConfigurationOptions } from '../../index.js';

const BASE = createConfiguration(2, 3);
/** More than a manifest remembers, fewer than are archived. */
const MANY = 40;

function createStore(options: Partial<ConfigurationOptions> = {}) {
  const clock = new ManualClock();
  const platform = new MemoryPlatformStore({ clock });
  const store = new ConfigurationStore({ store: platform, clock, options });
  const apply = (changeId: string, baseGeneration: number, configuration = BASE) =>
    store.apply({ configuration, changeId, author: 'bo', baseGeneration });
  const applyMany = async (from: number, count: number) => {
    for (let base = from; base < from + count; base += 1) {
      // eslint-disable-next-line no-await-in-loop -- each change stands on the one before
      await apply(`later-${base}`, base, setWeight(BASE, 'workspace-1', 2 + (base % 5)));
    }
  };
  return { platform, store, apply, applyMany };
}

describe('ConfigurationStore', () => {
  // Symptom: an operator is told of a conflict for a change that is in force, edits again and
  // applies it twice. Sequence: the confirmation is lost, others change on top for a while, the
  // operator asks again. Cause: only the current manifest was looked at.
  it('finds a change whose confirmation was lost, with many accepted on top', async () => {
    const { platform, apply, applyMany } = createStore({ applyAttempts: 1 });
    platform.applyFault({ kind: 'lose-answers', count: 1, keyPrefix: MANIFEST_KEY });
    const first = await apply('mine', 0);
    expect(first).toMatchObject({ kind: 'unavailable', mayBeAccepted: true });
    await applyMany(1, MANY);
    const again = await apply('mine', 0);
    expect(again).toMatchObject({ kind: 'accepted', change: { generation: 1, changeId: 'mine' } });
  });

  it('reads back within one apply when the confirmation is lost', async () => {
    const { platform, store, apply } = createStore();
    platform.applyFault({ kind: 'lose-answers', count: 1, keyPrefix: MANIFEST_KEY });
    expect(await apply('mine', 0)).toMatchObject({ kind: 'accepted', change: { generation: 1 } });
    expect((await store.readManifest())!.generation).toBe(1);
  });

  // Symptom: an operator's second try undoes what others did since. Sequence: a change is accepted
  // unseen; its author takes the newest base and asks again with the same identity. Cause: only the
  // generation after the new base was looked at.
  it('does not apply an identity again on a newer base', async () => {
    const { store, apply, applyMany } = createStore();
    await apply('mine', 0);
    await applyMany(1, 2);
    expect(await apply('mine', 3)).toMatchObject({ kind: 'accepted', change: { generation: 1 } });
    expect((await store.readManifest())!.generation).toBe(3);
  });

  it('refuses an identity that belongs to another content', async () => {
    const { apply } = createStore();
    await apply('mine', 0);
    const other = apply('mine', 1, setWeight(BASE, 'workspace-0', 9));
    await expect(other).rejects.toThrow(ConfigurationError);
  });

  it('makes no generation of a change that changes nothing', async () => {
    const { store, apply } = createStore();
    await apply('first', 0);
    expect(await apply('second', 1)).toMatchObject({
      kind: 'unchanged',
      accepted: { generation: 1 },
    });
    expect((await store.readManifest())!.generation).toBe(1);
  });

  // Symptom: an operator's edit disappears without a word. Sequence: two operators edit the same
  // base, the second applies after the first. Cause: an update that is not conditional on the base.
  it('shows the loser of a race both sides', async () => {
    const { apply } = createStore();
    await apply('first', 0);
    await apply('theirs', 1, setWeight(BASE, 'workspace-1', 5));
    const outcome = await apply('mine', 1, setWeight(BASE, 'workspace-2', 7));
    expect(outcome).toMatchObject({
      kind: 'conflict',
      accepted: { generation: 2, changeId: 'theirs' },
      theirs: [{ kind: 'changed', name: 'workspace-1', fields: [{ key: 'weight', to: 5 }] }],
      mine: [{ kind: 'changed', name: 'workspace-2', fields: [{ key: 'weight', to: 7 }] }],
    });
  });

  // Symptom: the store fills up. Sequence: each change leaves a part behind. Cause: nobody deletes.
  it('deletes what only old generations name, and keeps what conflicts need', async () => {
    const { platform, store, apply, applyMany } = createStore({ archivedGenerations: 2 });
    await apply('first', 0);
    await applyMany(1, MANY);
    const before = (await platform.list('config/')).length;
    expect(await store.collectGarbage()).toMatchObject({ kind: 'collected' });
    expect((await platform.list('config/')).length).toBeLessThan(before);
    expect((await store.read())!.manifest.generation).toBe(MANY + 1);
    expect((await store.readArchived(MANY - 1))!.manifest.generation).toBe(MANY - 1);
    expect(await store.readArchived(MANY - 2)).toBeUndefined();
    expect(await apply('mine', 1)).toMatchObject({ kind: 'forgotten' });
  });

  it('says that the store is unavailable, and that nothing can have been accepted', async () => {
    const { platform, apply } = createStore();
    platform.applyFault({ kind: 'down' });
    expect(await apply('mine', 0)).toMatchObject({ kind: 'unavailable', mayBeAccepted: false });
  });

  it('refuses to go on over something that is no manifest', async () => {
    const { platform, store, apply } = createStore();
    await platform.put(MANIFEST_KEY, '{"generation":"two"}', 0);
    await expect(store.read()).rejects.toThrow(/config\/manifest does not hold a manifest/);
    await expect(apply('mine', 0)).rejects.toThrow(ConfigurationError);
  });
});
