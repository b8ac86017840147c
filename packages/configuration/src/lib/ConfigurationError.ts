import { StepError } from '@apricotrill/utils';

/**
 * What lies in the store, or came from a peer, is not a configuration; or a change was asked for in
 * a way that cannot be right. Asking again is useless until somebody mends it.
 *
 * @public
 */
export class ConfigurationError extends StepError {}
