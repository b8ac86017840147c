import { ValueTooLargeError } from '@apricotrill/store';
import { MAX_VALUE_BYTES } from '../options.js';
import type { ConfigurationPart } from '../parts/getConfigurationParts.js';

/** Upper bound of what each part adds to the manifest. */
const MANIFEST_BYTES_PER_PART = 160;
/** Upper bound of the rest of the manifest, including its recent changes. */
const MANIFEST_BASE_BYTES = 32768;

/**
 * Rejects a configuration that is too large for the store before anything is written. A part
 * becomes that large only if a single entry is huge, the manifest only with thousands of parts.
 *
 * @throws ValueTooLargeError
 */
export function checkSizes(parts: readonly ConfigurationPart[]): void {
  const largest = parts.find(({ size }) => size > MAX_VALUE_BYTES);
  if (largest !== undefined) {
    const reason = `part ${largest.name} has ${largest.size} bytes, the store takes ${MAX_VALUE_BYTES}`;
    throw new ValueTooLargeError(reason, { step: 'apply', peer: 'platform store' });
  }
  const manifestBytes = MANIFEST_BASE_BYTES + parts.length * MANIFEST_BYTES_PER_PART;
  if (manifestBytes > MAX_VALUE_BYTES) {
    const reason = `the manifest of ${parts.length} parts exceeds the store's limit of ${MAX_VALUE_BYTES} bytes`;
    throw new ValueTooLargeError(reason, { step: 'apply', peer: 'platform store' });
  }
}
