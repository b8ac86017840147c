import { StepError } from '@apricotrill/utils';

/**
 * The store or a peer supplied something that is not a valid configuration, or a requested change
 * is invalid. Retrying does not help until the cause is fixed.
 *
 * @public
 */
export class ConfigurationError extends StepError {}
