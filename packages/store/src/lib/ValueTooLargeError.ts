import { StepError } from '@apricotrill/utils';

/**
 * The platform store's limit for one value, in bytes of UTF-8.
 *
 * @public
 */
export const MAX_VALUE_BYTES = 1_048_576;

/**
 * A value exceeds the limit of the platform's store. Nothing was written, and a retry would fail too.
 *
 * @public
 */
export class ValueTooLargeError extends StepError {}

/**
 * Rejects a value before it is sent, so that the error states the key and the size.
 *
 * @throws ValueTooLargeError
 * @internal
 */
export function checkValueSize(key: string, value: string, peer: string): void {
  const size = Buffer.byteLength(value);
  if (size > MAX_VALUE_BYTES) {
    const reason = `the value of ${key} has ${size} bytes, the store takes ${MAX_VALUE_BYTES}`;
    throw new ValueTooLargeError(reason, { step: 'store-put', peer });
  }
}
