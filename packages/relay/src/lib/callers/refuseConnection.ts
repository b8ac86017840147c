import { STATUS_CODES } from 'node:http';
import type { Socket } from 'node:net';

const BAD_REQUEST = 400;

/** What callers are told, by the code of the HTTP parser. */
const STATUS_BY_CODE: Record<string, number> = {
  HPE_HEADER_OVERFLOW: 431,
  ERR_HTTP_REQUEST_TIMEOUT: 408,
};

/**
 * Answers bytes that never became a request, and ends their connection. Nothing of them ran.
 *
 * @param error - what the HTTP parser says of them
 */
export function refuseConnection(socket: Socket, error: NodeJS.ErrnoException): void {
  if (!socket.writable || error.code === 'ECONNRESET') {
    socket.destroy();
    return;
  }
  const status = STATUS_BY_CODE[error.code ?? ''] ?? BAD_REQUEST;
  const head = [
    `HTTP/1.1 ${status} ${STATUS_CODES[status]}`,
    'connection: close',
    'content-length: 0',
  ];
  socket.end(`${head.join('\r\n')}\r\n\r\n`);
}
