import { STATUS_CODES } from 'node:http';
import type { Socket } from 'node:net';

/** Why bytes never became a request. */
export enum MalformedKind {
  Malformed = 'malformed',
  HeadTooLarge = 'head-too-large',
  HeadTooSlow = 'head-too-slow',
}

/** A body for the answer, and of which type it is. */
export interface RefusalBody {
  type: string;
  text: string;
}

const KIND_BY_CODE: Readonly<Record<string, MalformedKind>> = {
  HPE_HEADER_OVERFLOW: MalformedKind.HeadTooLarge,
  ERR_HTTP_REQUEST_TIMEOUT: MalformedKind.HeadTooSlow,
};

const STATUS: Readonly<Record<MalformedKind, number>> = {
  [MalformedKind.Malformed]: 400,
  [MalformedKind.HeadTooLarge]: 431,
  [MalformedKind.HeadTooSlow]: 408,
};

/**
 * Answers bytes that never became a request, and ends their connection. Nothing of them ran.
 *
 * @param error - what the HTTP parser says of them
 * @param getBody - the answer's body
 * @example
 * ```ts
 * server.on('clientError', (error, socket) => refuseConnection(socket, error));
 * ```
 * @public
 */
export function refuseConnection(
  socket: Socket,
  { code = '' }: NodeJS.ErrnoException,
  getBody: (kind: MalformedKind, status: number) => RefusalBody | undefined = () => undefined,
): void {
  if (!socket.writable || code === 'ECONNRESET') {
    socket.destroy();
    return;
  }
  const kind = KIND_BY_CODE[code] ?? MalformedKind.Malformed;
  const status = STATUS[kind];
  const body = getBody(kind, status);
  const head = [
    `HTTP/1.1 ${status} ${STATUS_CODES[status]}`,
    'connection: close',
    ...(body === undefined ? [] : [`content-type: ${body.type}`]),
    `content-length: ${Buffer.byteLength(body?.text ?? '')}`,
  ];
  socket.end(`${head.join('\r\n')}\r\n\r\n${body?.text ?? ''}`);
}
