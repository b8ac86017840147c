/** The status of a response is none that HTTP defines (RFC 9110, section 15). */
export class InvalidStatusError extends Error {
  constructor(status: number) {
    super(`response has the invalid status ${status}`);
  }
}
