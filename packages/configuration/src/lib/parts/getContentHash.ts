import { createHash } from 'node:crypto';

/** 128 bits: two texts of the same hash do not come up by chance. */
const HASH_DIGITS = 32;

/** The content hash of a text: the head of its SHA-256, in hexadecimal. */
export function getContentHash(text: string): string {
  return createHash('sha256').update(text, 'utf8').digest('hex').slice(0, HASH_DIGITS);
}
