import type { Socket } from 'node:net';

/** The messages of the HTTP client's errors that close a connection which carries no request. */
const ORDERLY_CLOSES: ReadonlySet<string> = new Set(['socket idle timeout', 'reset']);

/** Destroys a connection in order, although a reason is given. */
export class ConnectionUnusedError extends Error {
  constructor() {
    super('connection is not needed');
    this.name = 'ConnectionUnusedError';
  }
}

function isOrderly(error: Error | undefined): boolean {
  return (
    error === undefined ||
    error instanceof ConnectionUnusedError ||
    ORDERLY_CLOSES.has(error.message)
  );
}

/**
 * Makes a connection reset when it is destroyed with an error, as the HTTP client does when a request is
 * aborted. After an orderly close, the kernel would go on sending what the peer has not acknowledged: once
 * a partition is over, the peer would receive a request that was given up long before.
 *
 * @param socket - a TCP connection
 * @returns the same connection
 * @example
 * ```ts
 * connect(options, (error, socket) => callback(error, socket && resetOnAbort(socket)));
 * ```
 * @public
 */
export function resetOnAbort<Connection extends Socket>(socket: Connection): Connection {
  const destroy = socket.destroy.bind(socket);
  let cause: Error | undefined;
  const abort = (error?: Error) => {
    if (isOrderly(error) || socket.connecting || socket.destroyed || cause !== undefined) {
      return destroy(error ?? cause);
    }
    cause = error;
    // Calls `destroy` without the error.
    return socket.resetAndDestroy();
  };
  return Object.assign(socket, { destroy: abort });
}
