import { request } from 'node:http';
import type { Milliseconds } from '@apricotrill/utils';

/**
 * Checks whether an HTTP server responds, on a connection of its own. An open connection alone does not
 * show that: a middlebox may accept it in place of the server.
 *
 * @param address - IP address and port
 * @returns whether any response arrived in time, whatever its status
 * @example
 * ```ts
 * await isResponding('127.0.0.1:80', '/healthz', 250);
 * ```
 */
export function isResponding(
  address: string,
  path: string,
  timeout: Milliseconds,
): Promise<boolean> {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const sent = request({ host: host!, port: Number(port), path, agent: false, timeout });
    const finish = (result: boolean) => {
      resolve(result);
      sent.destroy();
    };
    sent.once('response', () => finish(true));
    sent.once('timeout', () => finish(false));
    // Destroying the request emits an error, too.
    sent.on('error', () => finish(false));
    sent.end();
  });
}
