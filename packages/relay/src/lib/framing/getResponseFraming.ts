import { findHeader, getListHeader } from '../protocol/connectionHeaders.js';

/** How the end of a response is determined (RFC 9112, section 6.3). */
export enum ResponseFraming {
  /** The response has no body, whatever its headers say. */
  NoBody = 'no-body',
  /** The body has a stated length. */
  Length = 'length',
  /** The body ends with its last chunk. */
  Chunked = 'chunked',
  /** The body ends with the connection, so that its end does not prove that it is complete. */
  Connection = 'connection',
}

/** The parts of a response that determine its framing. */
export interface FramedMessage {
  /** Method of the request. */
  method: string;
  status: number;
  /** Alternating names and values. */
  rawHeaders: readonly string[];
}

const FIRST_FINAL_STATUS = 200;
const NO_CONTENT = 204;
const NOT_MODIFIED = 304;

/**
 * Returns how the end of a response is determined.
 *
 * @example
 * ```ts
 * getResponseFraming({ method: 'GET', status: 200, rawHeaders: [] }); // ResponseFraming.Connection
 * ```
 * @public
 */
export function getResponseFraming({ method, status, rawHeaders }: FramedMessage): ResponseFraming {
  const hasNoBody =
    method === 'HEAD' ||
    status < FIRST_FINAL_STATUS ||
    status === NO_CONTENT ||
    status === NOT_MODIFIED;
  if (hasNoBody) {
    return ResponseFraming.NoBody;
  }
  const lastCoding = getListHeader(rawHeaders, 'transfer-encoding').at(-1);
  if (lastCoding !== undefined) {
    const isChunked = lastCoding.toLowerCase() === 'chunked';
    return isChunked ? ResponseFraming.Chunked : ResponseFraming.Connection;
  }
  const length = findHeader(rawHeaders, 'content-length');
  return length === undefined ? ResponseFraming.Connection : ResponseFraming.Length;
}
