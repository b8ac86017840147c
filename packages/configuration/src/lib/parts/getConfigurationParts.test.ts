import type { Configuration } from '@apricotrill/model';
import { createRandom } from '@apricotrill/utils';
import * as fc from 'fast-check';
import { createConfiguration, setWeight } from '../../test/createConfiguration.js';
import { assembleConfiguration, getConfigurationDiff, getConfigurationParts } from '../../index.js';
import type { Manifest } from '../../index.js';

const MAX_PART_TEXT_BYTES = 20000;

function createManifest(configuration: Configuration): Manifest {
  const parts = getConfigurationParts(configuration);
  const change = { generation: 1, changeId: 'a', author: 'b', acceptedAt: 0, contentHash: 'c' };
  return { ...change, parts, recent: [] };
}

function getTexts(configuration: Configuration): Map<string, string> {
  return new Map(getConfigurationParts(configuration).map(({ hash, text }) => [hash, text]));
}

/** Counts the parts that only one of two configurations has. */
function countChangedParts(before: Configuration, after: Configuration) {
  const oldTexts = getTexts(before);
  const newTexts = getTexts(after);
  const count = (from: Map<string, string>, to: Map<string, string>) =>
    [...from.keys()].filter((hash) => !to.has(hash)).length;
  return { removed: count(oldTexts, newTexts), added: count(newTexts, oldTexts) };
}

function shuffle<Value>(values: readonly Value[], seed: number): Value[] {
  const random = createRandom(seed);
  return values
    .map((value) => ({ value, order: random.next() }))
    .sort((left, right) => left.order - right.order)
    .map(({ value }) => value);
}

describe('getConfigurationParts', () => {
  it('splits a register in any order into the same parts, which assemble to the same configuration', () => {
    fc.assert(
      fc.property(fc.nat(300), fc.nat(200), fc.nat(), (replicas, workspaces, seed) => {
        const configuration = createConfiguration(replicas, workspaces);
        const { register } = configuration;
        const shuffled = { ...register, replicas: shuffle(register.replicas, seed) };
        const other = { ...configuration, register: shuffled };
        expect(getTexts(other)).toEqual(getTexts(configuration));
        const assembled = assembleConfiguration(createManifest(other), getTexts(other));
        expect(assembled.ok && getConfigurationDiff(assembled.value, configuration)).toEqual([]);
      }),
      { seed: 1, numRuns: 20 },
    );
  });

  // Each edit sent the whole register to every daemon: parts split by position or by a number of
  // buckets all shift when one entry is edited.
  it('changes one part per edit at full size, and keeps parts small', () => {
    const configuration = createConfiguration(6900, 3500);
    const parts = getConfigurationParts(configuration);
    expect(Math.max(...parts.map(({ size }) => size))).toBeLessThan(MAX_PART_TEXT_BYTES);
    const edited = setWeight(configuration, 'workspace-7', 3);
    expect(countChangedParts(configuration, edited)).toEqual({ removed: 1, added: 1 });
    const [, ...fewer] = configuration.register.replicas;
    const removed = { ...configuration, register: { ...configuration.register, replicas: fewer } };
    expect(countChangedParts(configuration, removed)).toEqual({ removed: 1, added: 1 });
    const [first, ...later] = configuration.rules.classRules;
    const moved = { ...configuration.rules, classRules: [...later, first!] };
    expect(
      countChangedParts(configuration, { ...configuration, rules: moved }).removed,
    ).toBeLessThan(3);
  });

  it('changes few parts per added entry while the register grows', () => {
    for (let size = 50; size < 250; size += 1) {
      const before = createConfiguration(size, 0);
      const { removed, added } = countChangedParts(before, createConfiguration(size + 1, 0));
      expect(removed).toBeLessThanOrEqual(1);
      expect(added).toBeLessThanOrEqual(2);
    }
  });
});

describe('assembleConfiguration', () => {
  // Daemons used different rules at the same generation: a part's text was damaged or confused with
  // another in transit, and its hash was not verified.
  it('rejects a text whose hash differs from the manifest', () => {
    const configuration = createConfiguration(3, 3);
    const texts = getTexts(configuration);
    const damaged = [...texts].map(([hash, text]) => [hash, text.replace('16', '17')] as const);
    const assembled = assembleConfiguration(createManifest(configuration), new Map(damaged));
    expect(assembled).toMatchObject({ ok: false, error: { kind: 'broken-part' } });
  });

  it('reports missing parts', () => {
    const configuration = createConfiguration(3, 3);
    const [hash, ...others] = getTexts(configuration).keys();
    const texts = new Map(others.map((other) => [other, getTexts(configuration).get(other)!]));
    const assembled = assembleConfiguration(createManifest(configuration), texts);
    expect(assembled).toEqual({ ok: false, error: { kind: 'missing-parts', hashes: [hash] } });
  });
});
