import { StepError } from '@apricotrill/utils';

/** A daemon gave no answer that could be read. */
export class DaemonUnavailableError extends StepError {}
