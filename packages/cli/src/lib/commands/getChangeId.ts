import { createHash } from 'node:crypto';
import { getConfigurationParts, getPartsHash } from '@apricotrill/configuration';
import type { Configuration } from '@apricotrill/model';

const ID_DIGITS = 16;

/**
 * The identity of a change, from everything that makes it: who runs the same command again after a
 * lost confirmation asks for the same change, without having written anything down.
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
