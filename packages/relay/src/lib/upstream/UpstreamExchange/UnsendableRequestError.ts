/**
 * A request that the HTTP client cannot encode, such as one with two `Host` headers. It can be sent to no
 * replica, and says nothing about the one that it was meant for.
 */
export class UnsendableRequestError extends Error {
  constructor(cause: Error) {
    super(`request cannot be sent: ${cause.message}`, { cause });
    this.name = 'UnsendableRequestError';
  }
}
