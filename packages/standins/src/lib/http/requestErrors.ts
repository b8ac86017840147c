/* eslint-disable max-classes-per-file -- two small errors of the same reader */
/** The request is malformed; answered with 400. */
export class BadRequestError extends Error {}

/** The request's body is larger than the stand-in accepts; answered with 413. */
export class PayloadTooLargeError extends Error {}
