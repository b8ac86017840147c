import type { Configuration } from '@apricotrill/model';
import { getHash } from '@apricotrill/utils';
import { getCanonicalText } from '../getCanonicalText.js';
import type { PartReference } from '../Manifest.js';
import { MAX_PART_BYTES } from '../options.js';
import { EntryList, getEntryLists, getEntryName, isOrdered } from './entryLists.js';
import type { Entry } from './entryLists.js';
import { getContentHash } from './getContentHash.js';

/**
 * A piece of the configuration that is stored and sent as one text.
 *
 * @public
 */
export interface ConfigurationPart extends PartReference {
  text: string;
}

/** An entry as it is written to a part. */
interface SerializedEntry {
  hash: number;
  text: string;
  size: number;
}

const HASH_BITS = 32;
/** On average one in this many entries of an ordered list ends a run, regardless of its neighbours. */
const MEAN_RUN_LENGTH = 64;

function serializeEntry(list: EntryList, entry: Entry): SerializedEntry {
  const text = getCanonicalText(entry);
  return { hash: getHash(getEntryName(list, entry)), text, size: Buffer.byteLength(text) };
}

function getSize(entries: readonly SerializedEntry[]): number {
  return entries.reduce((sum, { size }) => sum + size, 0);
}

function createPart(
  list: EntryList,
  label: string | number,
  entries: readonly SerializedEntry[],
): ConfigurationPart {
  const body = entries.map(({ text }) => text).join(',\n');
  const text = `{"list":"${list}","entries":[\n${body}\n]}`;
  const size = Buffer.byteLength(text);
  return { name: `${list}/${label}`, hash: getContentHash(text), size, text };
}

/**
 * Splits entries into buckets by the leading bits of the hash of their name; a bucket that grows
 * too large is split in two by the next bit. A bucket depends only on its own entries, so an edit
 * leaves all others unchanged, even when the number of buckets grows.
 */
function splitByName(
  list: EntryList,
  entries: readonly SerializedEntry[],
  prefix = '',
): ConfigurationPart[] {
  if (entries.length === 0) {
    return [];
  }
  const isLeaf = getSize(entries) <= MAX_PART_BYTES || prefix.length === HASH_BITS;
  if (isLeaf || entries.length === 1) {
    return [createPart(list, prefix === '' ? 'all' : prefix, entries)];
  }
  // eslint-disable-next-line no-bitwise
  const getBit = ({ hash }: SerializedEntry) => (hash >>> (HASH_BITS - 1 - prefix.length)) & 1;
  return [0, 1].flatMap((bit) =>
    splitByName(
      list,
      entries.filter((entry) => getBit(entry) === bit),
      `${prefix}${bit}`,
    ),
  );
}

/**
 * Splits entries into runs of neighbours. Whether an entry ends a run depends on its own hash, so an
 * edit leaves the runs before and after it unchanged. A run that grows too large is split as well.
 */
function splitInOrder(list: EntryList, entries: readonly SerializedEntry[]): ConfigurationPart[] {
  const runs: SerializedEntry[][] = [];
  let run: SerializedEntry[] = [];
  entries.forEach((entry) => {
    run.push(entry);
    if (entry.hash % MEAN_RUN_LENGTH === 0 || getSize(run) > MAX_PART_BYTES) {
      runs.push(run);
      run = [];
    }
  });
  if (run.length > 0) {
    runs.push(run);
  }
  return runs.map((members, index) => createPart(list, index, members));
}

/**
 * Splits a configuration into parts. The split depends only on the content: the same configuration
 * gives the same parts everywhere, and an edit of one entry changes one part (or splits one in two,
 * or joins two).
 *
 * @example
 * ```ts
 * const parts = getConfigurationParts(configuration);
 * ```
 * @public
 */
export function getConfigurationParts(configuration: Configuration): ConfigurationPart[] {
  const lists = getEntryLists(configuration);
  return Object.values(EntryList).flatMap((list) => {
    const entries = lists[list].map((entry) => serializeEntry(list, entry));
    return isOrdered(list) ? splitInOrder(list, entries) : splitByName(list, entries);
  });
}

/** The hash of the configuration that consists of these parts. */
export function getPartsHash(parts: readonly PartReference[]): string {
  return getContentHash(parts.map(({ hash }) => hash).join('\n'));
}
