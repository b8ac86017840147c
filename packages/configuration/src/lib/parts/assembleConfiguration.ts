import type { Configuration } from '@apricotrill/model';
import { failure, success } from '@apricotrill/utils';
import type { Result } from '@apricotrill/utils';
import { z } from 'zod';
import type { Manifest, PartReference } from '../Manifest.js';
import { LARGEST_VALUE_BYTES } from '../options.js';
import { EntryList, createEntryLists, getConfigurationOf, getSortedEntries } from './entryLists.js';
import type { Entry } from './entryLists.js';
import { getContentHash } from './getContentHash.js';

/**
 * Why parts do not make a configuration.
 *
 * @public
 */
export type AssemblyError =
  | { kind: 'missing-parts'; hashes: string[] }
  | { kind: 'broken-part'; name: string; reason: string };

/** A part's content once its text was checked. */
export interface ReadPart {
  list: EntryList;
  entries: Entry[];
}

/** Parts that were checked before, by hash: an edit leaves nearly all of them as they are. */
export type ReadParts = Map<string, ReadPart>;

const partSchema = z.object({
  list: z.enum(EntryList),
  entries: z.array(z.record(z.string(), z.unknown())),
});

/**
 * A text under the wrong hash would put entries in force that nobody accepted, and differently on
 * each daemon; so every text is held against its hash, whoever brought it.
 */
function readPart(reference: PartReference, text: string): Result<ReadPart, string> {
  if (Buffer.byteLength(text) > LARGEST_VALUE_BYTES) {
    return failure('larger than the store takes');
  }
  if (getContentHash(text) !== reference.hash) {
    return failure('the text does not have the hash that the manifest names');
  }
  try {
    const parsed = partSchema.safeParse(JSON.parse(text));
    return parsed.success ? success(parsed.data) : failure(z.prettifyError(parsed.error));
  } catch (error) {
    return failure(String(error));
  }
}

/** Hashes of the manifest for which there is neither a text nor a checked part. */
export function getMissingHashes(manifest: Manifest, texts: ReadonlyMap<string, string>): string[] {
  const hashes = new Set(manifest.parts.map(({ hash }) => hash));
  return [...hashes].filter((hash) => !texts.has(hash));
}

/**
 * Puts a configuration together from the parts that a manifest names. Every text is held against
 * its hash and the size that the store takes.
 *
 * @param texts - part texts by hash; more than needed is fine
 * @param known - parts checked before, by hash; newly checked ones are added
 * @example
 * ```ts
 * const configuration = assembleConfiguration(manifest, texts);
 * ```
 * @public
 */
export function assembleConfiguration(
  manifest: Manifest,
  texts: ReadonlyMap<string, string>,
  known: ReadParts = new Map(),
): Result<Configuration, AssemblyError> {
  const missing = getMissingHashes(manifest, texts).filter((hash) => !known.has(hash));
  if (missing.length > 0) {
    return failure({ kind: 'missing-parts', hashes: missing });
  }
  const lists = createEntryLists();
  for (const reference of manifest.parts) {
    const before = known.get(reference.hash);
    const part = before ? success(before) : readPart(reference, texts.get(reference.hash)!);
    if (!part.ok) {
      return failure({ kind: 'broken-part', name: reference.name, reason: part.error });
    }
    known.set(reference.hash, part.value);
    lists[part.value.list].push(...part.value.entries);
  }
  Object.values(EntryList).forEach((list) => {
    lists[list] = getSortedEntries(list, lists[list]);
  });
  return success(getConfigurationOf(lists));
}
