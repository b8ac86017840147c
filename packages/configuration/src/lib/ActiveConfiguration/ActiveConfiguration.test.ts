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

describe('InForceConfiguration', () => {
  // Symptom: a daemon routes by old rules again. Sequence: generation 3 is in force; a peer that was
  // cut off sends generation 2. Cause: the last to arrive was taken for the newest.
  it('never goes back, whoever brings an older generation', () => {
    const inForce = new ActiveConfiguration();
    const told: number[] = [];
    inForce.subscribe(({ manifest }) => told.push(manifest.generation));
    [1, 3, 2, 3, 4, 1].forEach((generation) => {
      const { manifest, texts } = createGeneration(generation);
      inForce.activate(manifest, texts);
    });
    expect(told).toEqual([1, 3, 4]);
    expect(inForce.getGeneration()).toBe(4);
  });

  // Symptom: one part of a daemon uses older rules than the rest. Sequence: the first listener, on
  // being told of generation 1, offers generation 2; the second is told of 2 and then of 1. Cause:
  // the round for 1 went on after it was over.
  it('tells no listener of an older generation after a newer one', () => {
    const inForce = new ActiveConfiguration();
    const told: number[] = [];
    const next = createGeneration(2);
    inForce.subscribe(() => inForce.activate(next.manifest, next.texts));
    inForce.subscribe(({ manifest }) => told.push(manifest.generation));
    const first = createGeneration(1);
    inForce.activate(first.manifest, first.texts);
    expect(told).toEqual([2]);
  });

  it('keeps what is in force when a newer generation is incomplete or damaged', () => {
    const inForce = new ActiveConfiguration();
    const first = createGeneration(1);
    inForce.activate(first.manifest, first.texts);
    const { manifest, texts } = createGeneration(2, setWeight(BASE, 'workspace-1', 5));
    const [fresh] = inForce.getMissingHashes(manifest);
    expect(inForce.activate(manifest, new Map())).toEqual({
      kind: 'missing-parts',
      hashes: [fresh],
    });
    const damaged = new Map([[fresh!, `${texts.get(fresh!)} `]]);
    expect(inForce.activate(manifest, damaged).kind).toBe('broken-part');
    expect(inForce.getGeneration()).toBe(1);
    const needed = new Map([[fresh!, texts.get(fresh!)!]]);
    expect(inForce.activate(manifest, needed).kind).toBe('in-force');
    expect(inForce.get()!.configuration.register.workspaces[1]!.weight).toBe(5);
  });

  it('reports another content under the generation in force', () => {
    const inForce = new ActiveConfiguration();
    const first = createGeneration(1);
    inForce.activate(first.manifest, first.texts);
    const other = createGeneration(1, setWeight(BASE, 'workspace-1', 5));
    expect(inForce.activate(other.manifest, other.texts).kind).toBe('divergent');
    expect(inForce.activate(first.manifest, first.texts).kind).toBe('not-newer');
  });

  // Symptom: a daemon's queue keeps the old classes. Sequence: a new generation comes; the listener
  // before the queue's throws. Cause: the error ended the round of listeners.
  it('tells all listeners although one throws', () => {
    const inForce = new ActiveConfiguration();
    let told = 0;
    inForce.subscribe(() => {
      throw new Error('broken listener');
    });
    inForce.subscribe(() => {
      told += 1;
    });
    const { manifest, texts } = createGeneration(1);
    expect(() => inForce.activate(manifest, texts)).toThrow('listener failed');
    expect(told).toBe(1);
  });
});
