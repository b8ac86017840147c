import { StepError } from '@apricotrill/utils';

/**
 * The keys cannot be used; `peer` is the file, or the part of the key material, at fault.
 *
 * @public
 */
export class KeyError extends StepError {}
