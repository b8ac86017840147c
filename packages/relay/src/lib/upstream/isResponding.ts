import { request } from 'node:http';
import { resetOnAbort } from '@apricotrill/utils';
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
    const sent = request({ host: host!, port: Number(port), path, agent: false });
    const finish = (result: boolean) => {
      // eslint-disable-next-line @typescript-eslint/no-use-before-define -- called asynchronously
      clearTimeout(timer);
      resolve(result);
      sent.destroy(new Error('probe has ended'));
    };
    // A timeout of the socket would start again with each byte of a head without an end.
    const timer = setTimeout(() => finish(false), timeout);
    sent.once('socket', resetOnAbort);
    sent.once('response', () => finish(true));
    // Destroying the request emits an error, too.
    sent.on('error', () => finish(false));
    sent.end();
  });
}
