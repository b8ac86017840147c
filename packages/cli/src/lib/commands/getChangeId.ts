import { createHash } from 'node:crypto';
import { getConfigurationParts, getPartsHash } from '@apricotrill/configuration';
import type { Configuration } from '@apricotrill/model';

const ID_DIGITS = 16;

/**
 * Derives the id of a change from its content, base and author, so that running the same command
 * again after a lost confirmation is recognized as the same change.
 */
export function getChangeId(
  configuration: Configuration,
  baseGeneration: number,
  author: string,
): string {
  const content = getPartsHash(getConfigurationParts(configuration));
  const text = JSON.stringify([content, baseGeneration, author]);
  return createHash('sha256').update(text).digest('hex').slice(0, ID_DIGITS);
}
