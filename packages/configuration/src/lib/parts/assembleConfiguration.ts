import type { Configuration } from '@apricotrill/model';
import { failure, success } from '@apricotrill/utils';
import type { Result } from '@apricotrill/utils';
import { z } from 'zod';
import type { Manifest, PartReference } from '../Manifest.js';
import { MAX_VALUE_BYTES } from '../options.js';
import {
  EntryList,
  createEntryLists,
  getConfigurationFromLists,
  getSortedEntries,
} from './entryLists.js';
import type { Entry } from './entryLists.js';
import { getContentHash } from './getContentHash.js';

/**
 * Why parts cannot be assembled into a configuration.
 *
 * @public
 */
export type AssemblyError =
  | { kind: 'missing-parts'; hashes: string[] }
  | { kind: 'broken-part'; name: string; reason: string };

/** The content of a part whose text has been verified. */
export interface ParsedPart {
  list: EntryList;
  entries: Entry[];
}

/** Parts that were parsed before, by hash: an edit leaves nearly all of them unchanged. */
export type ParsedParts = Map<string, ParsedPart>;

const partSchema = z.object({
  list: z.enum(EntryList),
  entries: z.array(z.record(z.string(), z.unknown())),
});

/**
 * A text with the wrong hash would activate entries that were never accepted, and different ones on
 * each daemon. Every text is therefore verified against its hash, whatever its source.
 */
function parsePart(reference: PartReference, text: string): Result<ParsedPart, string> {
  if (Buffer.byteLength(text) > MAX_VALUE_BYTES) {
    return failure('larger than the store allows');
  }
  if (getContentHash(text) !== reference.hash) {
    return failure('the hash of the text differs from the manifest');
  }
  try {
    const parsed = partSchema.safeParse(JSON.parse(text));
    return parsed.success ? success(parsed.data) : failure(z.prettifyError(parsed.error));
  } catch (error) {
    return failure(String(error));
  }
}

/** Hashes of the manifest for which there is no text. */
export function getMissingHashes(manifest: Manifest, texts: ReadonlyMap<string, string>): string[] {
  const hashes = new Set(manifest.parts.map(({ hash }) => hash));
  return [...hashes].filter((hash) => !texts.has(hash));
}

/**
 * Assembles a configuration from the parts that a manifest references. Every text is verified
 * against its hash and the store's size limit.
 *
 * @param texts - part texts by hash; others than the needed ones are ignored
 * @param parsedParts - parts parsed before, by hash; newly parsed ones are added
 * @example
 * ```ts
 * const configuration = assembleConfiguration(manifest, texts);
 * ```
 * @public
 */
export function assembleConfiguration(
  manifest: Manifest,
  texts: ReadonlyMap<string, string>,
  parsedParts: ParsedParts = new Map(),
): Result<Configuration, AssemblyError> {
  const missing = getMissingHashes(manifest, texts).filter((hash) => !parsedParts.has(hash));
  if (missing.length > 0) {
    return failure({ kind: 'missing-parts', hashes: missing });
  }
  const lists = createEntryLists();
  for (const reference of manifest.parts) {
    const alreadyParsed = parsedParts.get(reference.hash);
    const part = alreadyParsed
      ? success(alreadyParsed)
      : parsePart(reference, texts.get(reference.hash)!);
    if (!part.ok) {
      return failure({ kind: 'broken-part', name: reference.name, reason: part.error });
    }
    parsedParts.set(reference.hash, part.value);
    lists[part.value.list].push(...part.value.entries);
  }
  Object.values(EntryList).forEach((list) => {
    lists[list] = getSortedEntries(list, lists[list]);
  });
  return success(getConfigurationFromLists(lists));
}
