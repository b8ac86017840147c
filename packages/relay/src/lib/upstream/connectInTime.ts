import { resetOnAbort } from '@apricotrill/utils';
import type { Milliseconds } from '@apricotrill/utils';
import type { Socket } from 'node:net';
import { buildConnector } from 'undici';

/** Thrown if a connection is not open in time. */
export class ConnectTimeoutError extends Error {
  readonly code = 'ETIMEDOUT';

  constructor(address: string, timeout: Milliseconds) {
    super(`no connection to ${address} within ${timeout} ms`);
  }
}

/**
 * Creates a function that opens connections for the HTTP client. The client's own timeout is checked
 * only twice a second, so that a connection that hangs would fail up to half a second late. An aborted
 * request resets its connection.
 *
 * @param timeout - maximum time to open a connection
 */
export function connectInTime(timeout: Milliseconds): buildConnector.connector {
  const connect = buildConnector({ timeout: 0 });
  return (options, callback) => {
    const socket = connect(options, (error, connection) => {
      // eslint-disable-next-line @typescript-eslint/no-use-before-define -- called asynchronously
      clearTimeout(timer);
      if (error !== null) {
        callback(error, null);
      } else {
        callback(null, resetOnAbort(connection));
      }
    }) as unknown as Socket;
    const timer = setTimeout(() => {
      const { hostname, port } = options;
      socket.destroy(new ConnectTimeoutError(`${hostname}:${port}`, timeout));
    }, timeout);
  };
}
