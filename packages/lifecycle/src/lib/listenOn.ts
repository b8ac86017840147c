import { once } from 'node:events';
import type { AddressInfo, Server } from 'node:net';

/**
 * Makes one attempt to listen at a TCP port. After a failure, the server can listen again.
 *
 * @returns the port, which the operating system chooses if 0 is given
 * @throws the error of the system
 * @example
 * ```ts
 * const port = await listenOn(createServer(), '127.0.0.1', 0);
 * ```
 * @public
 */
export async function listenOn(server: Server, host: string, port: number): Promise<number> {
  server.listen(port, host);
  await once(server, 'listening');
  return (server.address() as AddressInfo).port;
}
