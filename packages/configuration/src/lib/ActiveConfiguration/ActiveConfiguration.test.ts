import type { Configuration } from '@apricotrill/model';
import { createConfiguration, setWeight } from '../../test/createConfiguration.js';
import { ActiveConfiguration, getConfigurationParts, getPartsHash } from '../../index.js';
import type { Manifest } from '../../index.js';

const BASE = createConfiguration(2, 2);

function createGeneration(generation: number, configuration: Configuration = BASE) {
  const parts = getConfigurationParts(configuration);
  const change = { changeId: `change-${generation}`, author: 'bo', acceptedAt: 0 };
  const contentHash = getPartsHash(parts);
  const manifest: Manifest = { generation, ...change, contentHash, parts, recent: [] };
  return { manifest, texts: new Map(parts.map(({ hash, text }) => [hash, text])) };
}

describe('ActiveConfiguration', () => {
  // A daemon returned to old rules: generation 3 was active when a peer that had been disconnected
  // sent generation 2, and the last one received was treated as the newest.
  it('ignores older generations from any source', () => {
    const activeConfiguration = new ActiveConfiguration();
    const notified: number[] = [];
    activeConfiguration.subscribe(({ manifest }) => notified.push(manifest.generation));
    [1, 3, 2, 3, 4, 1].forEach((generation) => {
      const { manifest, texts } = createGeneration(generation);
      activeConfiguration.activate(manifest, texts);
    });
    expect(notified).toEqual([1, 3, 4]);
    expect(activeConfiguration.getGeneration()).toBe(4);
  });

  // One part of a daemon used older rules than the rest: while notified of generation 1, the first
  // listener activated generation 2, and the notification of generation 1 then continued, so the
  // second listener was notified of 2 and then of 1.
  it('notifies no listener of an older generation after a newer one', () => {
    const activeConfiguration = new ActiveConfiguration();
    const notified: number[] = [];
    const next = createGeneration(2);
    activeConfiguration.subscribe(() => activeConfiguration.activate(next.manifest, next.texts));
    activeConfiguration.subscribe(({ manifest }) => notified.push(manifest.generation));
    const first = createGeneration(1);
    activeConfiguration.activate(first.manifest, first.texts);
    expect(notified).toEqual([2]);
  });

  it('keeps the active generation when a newer one is incomplete or damaged', () => {
    const activeConfiguration = new ActiveConfiguration();
    const first = createGeneration(1);
    activeConfiguration.activate(first.manifest, first.texts);
    const { manifest, texts } = createGeneration(2, setWeight(BASE, 'workspace-1', 5));
    const [missingHash] = activeConfiguration.getMissingHashes(manifest);
    expect(activeConfiguration.activate(manifest, new Map())).toEqual({
      kind: 'missing-parts',
      hashes: [missingHash],
    });
    const damaged = new Map([[missingHash!, `${texts.get(missingHash!)} `]]);
    expect(activeConfiguration.activate(manifest, damaged).kind).toBe('broken-part');
    expect(activeConfiguration.getGeneration()).toBe(1);
    const needed = new Map([[missingHash!, texts.get(missingHash!)!]]);
    expect(activeConfiguration.activate(manifest, needed).kind).toBe('in-force');
    expect(activeConfiguration.get()!.configuration.register.workspaces[1]!.weight).toBe(5);
  });

  it('reports different content for the active generation', () => {
    const activeConfiguration = new ActiveConfiguration();
    const first = createGeneration(1);
    activeConfiguration.activate(first.manifest, first.texts);
    const other = createGeneration(1, setWeight(BASE, 'workspace-1', 5));
    expect(activeConfiguration.activate(other.manifest, other.texts).kind).toBe('divergent');
    expect(activeConfiguration.activate(first.manifest, first.texts).kind).toBe('not-newer');
  });

  // A daemon's queue kept the old classes: the listener before the queue's threw on a new
  // generation, and the error ended the loop over the listeners.
  it('notifies all listeners even if one throws', () => {
    const activeConfiguration = new ActiveConfiguration();
    let notified = 0;
    activeConfiguration.subscribe(() => {
      throw new Error('broken listener');
    });
    activeConfiguration.subscribe(() => {
      notified += 1;
    });
    const { manifest, texts } = createGeneration(1);
    expect(() => activeConfiguration.activate(manifest, texts)).toThrow('listener failed');
    expect(notified).toBe(1);
  });
});
