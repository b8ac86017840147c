import type { Configuration } from '@apricotrill/model';
import { createRandom } from '@apricotrill/utils';
import * as fc from 'fast-check';
import { createConfiguration, setWeight } from '../../test/createConfiguration.js';
import { assembleConfiguration, getConfigurationDiff, getConfigurationParts } from '../../index.js';
import type { Manifest } from '../../index.js';

const PART_LIMIT = 20000;

function createManifest(configuration: Configuration): Manifest {
  const parts = getConfigurationParts(configuration);
  const change = { generation: 1, changeId: 'a', author: 'b', acceptedAt: 0, contentHash: 'c' };
  return { ...change, parts, recent: [] };
}

function getTexts(configuration: Configuration): Map<string, string> {
  return new Map(getConfigurationParts(configuration).map(({ hash, text }) => [hash, text]));
}

/** Hashes that one has and the other has not, both ways. */
function countMovedParts(before: Configuration, after: Configuration) {
  const old = getTexts(before);
  const fresh = getTexts(after);
  const count = (from: Map<string, string>, to: Map<string, string>) =>
    [...from.keys()].filter((hash) => !to.has(hash)).length;
  return { gone: count(old, fresh), added: count(fresh, old) };
}

function shuffle<Value>(values: readonly Value[], seed: number): Value[] {
  const random = createRandom(seed);
  return values
    .map((value) => ({ value, order: random.next() }))
    .sort((left, right) => left.order - right.order)
    .map(({ value }) => value);
}

describe('getConfigurationParts', () => {
  it('gives parts that make the same configuration again, whatever the order of the register', () => {
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

  // Symptom: each edit moves the whole register to every daemon. Sequence: an operator edits one
  // entry; the cut of all others shifts with it. Cause: cutting by position or by a bucket count.
  it('moves one part by an edit at full size, and parts stay small', () => {
    const configuration = createConfiguration(6900, 3500);
    const parts = getConfigurationParts(configuration);
    expect(Math.max(...parts.map(({ size }) => size))).toBeLessThan(PART_LIMIT);
    const edited = setWeight(configuration, 'workspace-7', 3);
    expect(countMovedParts(configuration, edited)).toEqual({ gone: 1, added: 1 });
    const [, ...fewer] = configuration.register.replicas;
    const removed = { ...configuration, register: { ...configuration.register, replicas: fewer } };
    expect(countMovedParts(configuration, removed)).toEqual({ gone: 1, added: 1 });
    const [first, ...later] = configuration.rules.classRules;
    const moved = { ...configuration.rules, classRules: [...later, first!] };
    expect(countMovedParts(configuration, { ...configuration, rules: moved }).gone).toBeLessThan(3);
  });

  it('moves few parts by each step while the register grows', () => {
    for (let size = 50; size < 250; size += 1) {
      const before = createConfiguration(size, 0);
      const { gone, added } = countMovedParts(before, createConfiguration(size + 1, 0));
      expect(gone).toBeLessThanOrEqual(1);
      expect(added).toBeLessThanOrEqual(2);
    }
  });
});

describe('assembleConfiguration', () => {
  // Symptom: daemons route by different rules at the same generation. Sequence: a part's text is
  // damaged or mixed up on its way; the daemon takes it. Cause: the hash was not looked at.
  it('refuses a text that does not have the hash of the manifest', () => {
    const configuration = createConfiguration(3, 3);
    const texts = getTexts(configuration);
    const damaged = [...texts].map(([hash, text]) => [hash, text.replace('16', '17')] as const);
    const assembled = assembleConfiguration(createManifest(configuration), new Map(damaged));
    expect(assembled).toMatchObject({ ok: false, error: { kind: 'broken-part' } });
  });

  it('names the parts that are missing', () => {
    const configuration = createConfiguration(3, 3);
    const [hash, ...others] = getTexts(configuration).keys();
    const texts = new Map(others.map((other) => [other, getTexts(configuration).get(other)!]));
    const assembled = assembleConfiguration(createManifest(configuration), texts);
    expect(assembled).toEqual({ ok: false, error: { kind: 'missing-parts', hashes: [hash] } });
  });
});
