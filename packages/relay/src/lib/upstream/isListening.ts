import { connect } from 'node:net';
import type { Milliseconds } from '@apricotrill/utils';

/**
 * Checks whether a TCP port accepts connections. Sends no request, so that the probe occupies no
 * request slot.
 *
 * @param address - IP address and port
 * @returns false if the connection is refused, undefined on a timeout or another error
 * @example
 * ```ts
 * await isListening('127.0.0.1:80', 400); // false if the connection is refused
 * ```
 */
export function isListening(address: string, timeout: Milliseconds): Promise<boolean | undefined> {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const socket = connect({ host: host!, port: Number(port), timeout });
    const finish = (result: boolean | undefined) => {
      socket.destroy();
      resolve(result);
    };
    socket.once('connect', () => finish(true));
    socket.once('timeout', () => finish(undefined));
    socket.once('error', ({ code }: NodeJS.ErrnoException) =>
      finish(code === 'ECONNREFUSED' ? false : undefined),
    );
  });
}
