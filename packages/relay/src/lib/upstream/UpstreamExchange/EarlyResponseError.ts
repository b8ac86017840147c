/** A response that began before its request was sent ended with its connection, which may have been given up. */
export class EarlyResponseError extends Error {
  /** @param unsentBytes - of the request, when the head of the response arrived */
  constructor(unsentBytes: number) {
    super(
      `response ended with its connection and began ${unsentBytes} bytes before the end of its request`,
    );
  }
}
