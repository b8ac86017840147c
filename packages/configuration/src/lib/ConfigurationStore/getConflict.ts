import type { Configuration } from '@apricotrill/model';
import { EMPTY_CONFIGURATION, getConfigurationDiff } from '../diff/getConfigurationDiff.js';
import type { AcceptedChange } from '../Manifest.js';
import type { ConfigurationReader } from './ConfigurationReader.js';
import type { ApplyResult, ConfigurationChange } from './ConfigurationStore.js';

async function readBase(
  reader: ConfigurationReader,
  generation: number,
): Promise<Configuration | undefined> {
  return generation === 0
    ? EMPTY_CONFIGURATION
    : (await reader.readArchived(generation))?.configuration;
}

/**
 * Describes both sides of a conflict: the differences that the accepted changes made to the common
 * base, and those that this change would have made.
 */
export async function getConflict(
  reader: ConfigurationReader,
  change: ConfigurationChange,
  accepted: AcceptedChange,
): Promise<ApplyResult> {
  const current = (await reader.read())?.configuration ?? EMPTY_CONFIGURATION;
  const base = await readBase(reader, change.baseGeneration);
  return {
    kind: 'conflict',
    accepted,
    theirs: base && getConfigurationDiff(base, current),
    mine: getConfigurationDiff(base ?? current, change.configuration),
  };
}
