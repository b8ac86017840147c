/** The exit statuses of `apricotrill`, on which scripts may rely. */
export enum ExitCode {
  Done = 0,
  /** The command line is invalid. */
  Usage = 1,
  /** A file is missing or invalid. */
  Refused = 2,
  /** Another change was accepted on the same base. */
  Conflict = 3,
  /** The platform or the daemons did not answer. */
  Unavailable = 4,
  /** The accepted generation is not in force at every live daemon. */
  NotInForce = 5,
  /** The files differ from the accepted configuration. */
  Different = 6,
  /** The contents of the store, or the change itself, are invalid. */
  Impossible = 7,
  /** No class rule matches the request. */
  NoClass = 8,
}
