/**
 * The exit codes of a process that serves.
 *
 * @public
 */
export enum ExitCode {
  /** It was stopped by a signal. */
  Stopped = 0,
  /** It could not start, or not shut down in an orderly way. */
  Failed = 1,
  /** Its settings are wrong, so that another start would end the same way. */
  InvalidSettings = 2,
  /** Unexpected errors repeated, so that its state can't be trusted. */
  Fault = 70,
}
