import { ValueTooLargeError } from '@apricotrill/store';
import { LARGEST_VALUE_BYTES } from '../options.js';
import type { ConfigurationPart } from '../parts/getConfigurationParts.js';

/** What the manifest holds for each part, and for all its recent changes, at the most. */
const MANIFEST_BYTES_PER_PART = 160;
const MANIFEST_BYTES_BESIDES = 32768;

/**
 * Refuses a configuration that the store would not take, before anything is written. A part grows
 * that large only by a single huge entry; the manifest only by thousands of parts.
 *
 * @throws ValueTooLargeError
 */
export function checkSizes(parts: readonly ConfigurationPart[]): void {
  const largest = parts.find(({ size }) => size > LARGEST_VALUE_BYTES);
  if (largest !== undefined) {
    const reason = `part ${largest.name} has ${largest.size} bytes, the store takes ${LARGEST_VALUE_BYTES}`;
    throw new ValueTooLargeError(reason, { step: 'apply', peer: 'platform store' });
  }
  const manifest = MANIFEST_BYTES_BESIDES + parts.length * MANIFEST_BYTES_PER_PART;
  if (manifest > LARGEST_VALUE_BYTES) {
    const reason = `the manifest of ${parts.length} parts does not fit ${LARGEST_VALUE_BYTES} bytes`;
    throw new ValueTooLargeError(reason, { step: 'apply', peer: 'platform store' });
  }
}
