import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { z } from 'zod';
import type { PartTexts } from '../messages.js';

/** Larger than the store's limit for a value, so no part or manifest exceeds it. */
const MAX_TEXT_BYTES = 2 * 1024 * 1024;

/** Size of the cache of compressed parts: several peers fetch a new part within a second. */
const MAX_CACHED_TEXTS = 16;

const compressedParts = new Map<string, { text: string; compressed: Uint8Array }>();

export function compressText(text: string): Uint8Array {
  return deflateRawSync(text);
}

/**
 * @throws RangeError if the text is larger than any valid text, so that a small compressed message
 *   cannot exhaust the memory
 */
function decompressText(compressed: Uint8Array): string {
  return inflateRawSync(compressed, { maxOutputLength: MAX_TEXT_BYTES }).toString('utf8');
}

function compressPart(hash: string, text: string): Uint8Array {
  const cached = compressedParts.get(hash);
  if (cached?.text === text) {
    return cached.compressed;
  }
  const compressed = compressText(text);
  compressedParts.set(hash, { text, compressed });
  if (compressedParts.size > MAX_CACHED_TEXTS) {
    compressedParts.delete(compressedParts.keys().next().value!);
  }
  return compressed;
}

export function encodeParts(parts: PartTexts): unknown[] {
  return [...parts].map(([hash, text]) => [hash, compressPart(hash, text)]);
}

/** A compressed text. Bytes that cannot be decompressed fail validation instead of throwing. */
export const textSchema = z.instanceof(Uint8Array).transform((compressed, context): string => {
  try {
    return decompressText(compressed);
  } catch (error) {
    context.addIssue(String(error));
    return z.NEVER;
  }
});

/** Part texts by the hash under which they were sent. The hashes are verified later. */
export const partsSchema = z
  .array(z.tuple([z.string(), textSchema]))
  .transform((parts): PartTexts => new Map(parts));
