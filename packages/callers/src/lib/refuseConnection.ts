import { STATUS_CODES } from 'node:http';
import type { Socket } from 'node:net';

/** Why received bytes could not be parsed as a request. */
export enum MalformedKind {
  Malformed = 'malformed',
  HeadTooLarge = 'head-too-large',
  HeadTooSlow = 'head-too-slow',
}

/** The body of a response and its content type. */
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
 * Responds to bytes that could not be parsed as a request, and closes their connection. No part of
 * the request was executed.
 *
 * @param error - the error from the HTTP parser
 * @param getBody - creates the body of the response
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
