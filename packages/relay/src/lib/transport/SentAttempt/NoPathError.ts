/** The path to a replica is lost, and no other daemon can forward attempts. */
export class NoPathError extends Error {
  constructor(cause: Error | undefined) {
    super(`no path to the replica${cause === undefined ? '' : `: ${cause.message}`}`);
  }
}
