import { createHash } from 'node:crypto';

/** 128 bits make an accidental collision practically impossible. */
const HASH_DIGITS = 32;

/** The content hash of a text: the first 128 bits of its SHA-256, in hexadecimal. */
export function getContentHash(text: string): string {
  return createHash('sha256').update(text, 'utf8').digest('hex').slice(0, HASH_DIGITS);
}
