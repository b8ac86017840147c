import type { Socket } from 'node:dgram';
import { once } from 'node:events';

/**
 * Makes one attempt to bind a UDP socket. After a failure, the socket can be bound again.
 *
 * @throws the error of the system
 * @example
 * ```ts
 * await bindTo(createSocket('udp4'), '127.0.0.1', 7_201);
 * ```
 * @public
 */
export async function bindTo(socket: Socket, host: string, port: number): Promise<void> {
  socket.bind(port, host);
  await once(socket, 'listening');
}
