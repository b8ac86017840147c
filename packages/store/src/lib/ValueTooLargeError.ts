import { StepError } from '@apricotrill/utils';

/**
 * The largest value the platform's store takes, in bytes of UTF-8.
 *
 * @public
 */
export const MAX_VALUE_BYTES = 1_048_576;

/**
 * A value is larger than the platform's store takes. Nothing was written; asking again is useless.
 *
 * @public
 */
export class ValueTooLargeError extends StepError {}

/**
 * Refuses a value before it is sent, so that the reason names the key and the size.
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
