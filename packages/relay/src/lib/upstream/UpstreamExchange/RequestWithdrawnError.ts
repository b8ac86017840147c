/** Reported if a request is not sent because the replica no longer wants it. */
export class RequestWithdrawnError extends Error {
  constructor() {
    super('the replica wants no requests');
  }
}
