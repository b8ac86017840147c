import { StepError } from '@apricotrill/utils';

/** A daemon did not answer, or its answer could not be parsed. */
export class DaemonUnavailableError extends StepError {}
