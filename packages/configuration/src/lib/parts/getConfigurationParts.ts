import type { Configuration } from '@apricotrill/model';
import { getHash } from '@apricotrill/utils';
import { getCanonicalText } from '../getCanonicalText.js';
import type { PartReference } from '../Manifest.js';
import { PART_BYTES } from '../options.js';
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

/** An entry ready to be put in a part. */
interface WrittenEntry {
  hash: number;
  text: string;
  size: number;
}

const HASH_BITS = 32;
/** In an ordered list one entry in so many ends its part, whatever stands around it. */
const ENTRIES_PER_CUT = 64;

function writeEntry(list: EntryList, entry: Entry): WrittenEntry {
  const text = getCanonicalText(entry);
  return { hash: getHash(getEntryName(list, entry)), text, size: Buffer.byteLength(text) };
}

function getSize(entries: readonly WrittenEntry[]): number {
  return entries.reduce((sum, { size }) => sum + size, 0);
}

function createPart(
  list: EntryList,
  label: string | number,
  entries: readonly WrittenEntry[],
): ConfigurationPart {
  const body = entries.map(({ text }) => text).join(',\n');
  const text = `{"list":"${list}","entries":[\n${body}\n]}`;
  const size = Buffer.byteLength(text);
  return { name: `${list}/${label}`, hash: getContentHash(text), size, text };
}

/**
 * Buckets by the leading bits of each name's hash; a bucket that grows too large is cut in two by
 * the next bit. A bucket depends on its own entries only, so an edit leaves all others as they are,
 * also when the number of buckets grows.
 */
function cutByName(
  list: EntryList,
  entries: readonly WrittenEntry[],
  prefix = '',
): ConfigurationPart[] {
  if (entries.length === 0) {
    return [];
  }
  const isLeaf = getSize(entries) <= PART_BYTES || prefix.length === HASH_BITS;
  if (isLeaf || entries.length === 1) {
    return [createPart(list, prefix === '' ? 'all' : prefix, entries)];
  }
  // eslint-disable-next-line no-bitwise
  const getBit = ({ hash }: WrittenEntry) => (hash >>> (HASH_BITS - 1 - prefix.length)) & 1;
  return [0, 1].flatMap((bit) =>
    cutByName(
      list,
      entries.filter((entry) => getBit(entry) === bit),
      `${prefix}${bit}`,
    ),
  );
}

/**
 * Runs of neighbours: an entry ends its run by its own hash, so an edit leaves the runs before and
 * after it as they are. A run that grows too large is cut as well.
 */
function cutInOrder(list: EntryList, entries: readonly WrittenEntry[]): ConfigurationPart[] {
  const runs: WrittenEntry[][] = [];
  let run: WrittenEntry[] = [];
  entries.forEach((entry) => {
    run.push(entry);
    if (entry.hash % ENTRIES_PER_CUT === 0 || getSize(run) > PART_BYTES) {
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
 * Cuts a configuration into parts. The cut follows from the content alone: the same configuration
 * gives the same parts everywhere, and an edit of one entry changes one part (or cuts one in two,
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
    const entries = lists[list].map((entry) => writeEntry(list, entry));
    return isOrdered(list) ? cutInOrder(list, entries) : cutByName(list, entries);
  });
}

/** The hash of the whole configuration that the parts make up. */
export function getPartsHash(parts: readonly PartReference[]): string {
  return getContentHash(parts.map(({ hash }) => hash).join('\n'));
}
