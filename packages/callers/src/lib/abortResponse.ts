import type { ServerResponse } from 'node:http';
import { TLSSocket } from 'node:tls';

/**
 * Whether a response ends with its connection: neither a length nor a last chunk shows its end, as for all
 * callers of HTTP/1.0.
 */
function endsWithConnection(response: ServerResponse): boolean {
  return response.headersSent && !response.chunkedEncoding;
}

/**
 * Closes the connection of a response at once, so that its caller can't take the response for complete.
 *
 * @example
 * ```ts
 * server.once('close', () => openResponses.forEach(destroyResponse));
 * ```
 * @public
 */
export function destroyResponse(response: ServerResponse): void {
  const { socket } = response;
  // An orderly close would look like the end. A TLS connection without a closing alert does not.
  if (endsWithConnection(response) && socket !== null && !(socket instanceof TLSSocket)) {
    socket.resetAndDestroy();
  }
  response.destroy();
}

/**
 * Breaks off a response, so that its caller can't take it for complete. What was written before is still
 * sent.
 *
 * @example
 * ```ts
 * replica.once('error', () => abortResponse(response));
 * ```
 * @public
 */
export function abortResponse(response: ServerResponse): void {
  // What was written in this turn of the event loop is handed to the socket at its end.
  process.nextTick(() => destroyResponse(response));
}
