/** What the exit status of `apricotrill` says; scripts may rely on it. */
export enum ExitCode {
  Done = 0,
  /** The command line is wrong. */
  Usage = 1,
  /** A file is missing or refused, with its line and reason. */
  Refused = 2,
  /** Another change was accepted on the same base. */
  Conflict = 3,
  /** The platform or the daemons gave no answer. */
  Unavailable = 4,
  /** The accepted generation is not in force at every live daemon. */
  NotInForce = 5,
  /** The files differ from what is accepted. */
  Different = 6,
  /** What lies in the store, or the change itself, cannot be right. */
  Impossible = 7,
  /** No rule matches the request. */
  NoClass = 8,
}
