import { StepError } from '@apricotrill/utils';

/**
 * Keys that can't be used; `peer` is the file they came from.
 *
 * @public
 */
export class KeyError extends StepError {}
