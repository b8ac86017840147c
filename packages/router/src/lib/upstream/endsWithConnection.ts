import type { IncomingHttpHeaders } from 'node:http';

const NO_CONTENT = 204;
const NOT_MODIFIED = 304;

/**
 * Whether a response has neither a length nor chunks, so that only the end of its connection ends it
 * (RFC 9112, section 6.3).
 *
 * @param method - the method of the request
 * @param status - the status of the response
 * @param headers - the headers of the response
 * @example
 * ```ts
 * endsWithConnection('GET', 200, { 'content-length': '7' }); // false
 * ```
 * @internal
 */
export function endsWithConnection(
  method: string,
  status: number,
  headers: IncomingHttpHeaders,
): boolean {
  if (method === 'HEAD' || status === NO_CONTENT || status === NOT_MODIFIED) {
    return false;
  }
  const coding = headers['transfer-encoding'];
  return coding === undefined
    ? headers['content-length'] === undefined
    : String(coding).split(',').at(-1)!.trim().toLowerCase() !== 'chunked';
}
