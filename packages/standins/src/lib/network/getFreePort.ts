import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';

/**
 * A port that nothing listened on a moment ago. Daemons tell each other their ports before they
 * listen, so the machine can't choose them at that moment.
 *
 * @param host - the IP number to listen at; loopback by default
 * @example
 * ```ts
 * const meshPort = await getFreePort('127.0.0.1');
 * ```
 * @public
 */
export function getFreePort(host = '127.0.0.1'): Promise<number> {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, host, () => {
      const { port } = server.address() as AddressInfo;
      server.close(() => resolve(port));
    });
  });
}
