/** A response ended with its connection, and nothing confirms that it is complete. */
export class UnconfirmedEndError extends Error {
  constructor() {
    super('response ended with its connection, and its replica may have ended, too');
  }
}
