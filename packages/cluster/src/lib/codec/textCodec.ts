import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { z } from 'zod';
import type { PartTexts } from '../messages.js';

/** Above what the store takes as one value: nothing larger can be a part or a manifest. */
const MAX_TEXT_BYTES = 2 * 1024 * 1024;

/** Compressed texts kept: a new part is asked for by several peers within a second. */
const KEPT_TEXTS = 16;

const kept = new Map<string, { text: string; compressed: Uint8Array }>();

export function compressText(text: string): Uint8Array {
  return deflateRawSync(text);
}

/**
 * Unpacks a text.
 *
 * @throws RangeError when it is larger than any text can be, so that a few bytes cannot fill the
 *   memory
 */
function decompressText(compressed: Uint8Array): string {
  return inflateRawSync(compressed, { maxOutputLength: MAX_TEXT_BYTES }).toString('utf8');
}

function compressPart(hash: string, text: string): Uint8Array {
  const known = kept.get(hash);
  if (known?.text === text) {
    return known.compressed;
  }
  const compressed = compressText(text);
  kept.set(hash, { text, compressed });
  if (kept.size > KEPT_TEXTS) {
    kept.delete(kept.keys().next().value!);
  }
  return compressed;
}

export function encodeParts(parts: PartTexts): unknown[] {
  return [...parts].map(([hash, text]) => [hash, compressPart(hash, text)]);
}

/** A compressed text; bytes that are none fail the check instead of throwing. */
export const textSchema = z.instanceof(Uint8Array).transform((compressed, context): string => {
  try {
    return decompressText(compressed);
  } catch (error) {
    context.addIssue(String(error));
    return z.NEVER;
  }
});

/** Part texts by the hash under which they were sent; whether they have it is checked later. */
export const partsSchema = z
  .array(z.tuple([z.string(), textSchema]))
  .transform((parts): PartTexts => new Map(parts));
