import { createServer } from 'node:net';
import type { Server } from 'node:net';

/**
 * Below the ports that the system gives to outgoing connections: a daemon that is down for a while
 * finds its port free when it comes back.
 */
const FIRST_PORT = 10_000;

const LAST_PORT = 32_000;

const HOST = '127.0.0.1';

/** A port is reserved by listening to it here, which leaves it free at the address of the tests. */
const RESERVATION_HOST = '127.0.0.2';

/** Processes start at different ports, which saves them collisions. */
let next = FIRST_PORT + ((process.pid * 131) % (LAST_PORT - FIRST_PORT));

/** @returns undefined if the port is taken */
function listen(host: string, port: number): Promise<Server | undefined> {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', (error: NodeJS.ErrnoException) =>
      error.code === 'EADDRINUSE' ? resolve(undefined) : reject(error),
    );
    server.listen(port, host, () => resolve(server));
  });
}

async function isFree(port: number): Promise<boolean> {
  const server = await listen(HOST, port);
  if (server === undefined) {
    return false;
  }
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return true;
}

/** Keeps a port from other processes until this one ends. */
async function reserve(port: number): Promise<boolean> {
  const server = await listen(RESERVATION_HOST, port);
  server?.unref();
  return server !== undefined;
}

function takeNext(): number {
  const port = next;
  next = port === LAST_PORT ? FIRST_PORT : port + 1;
  return port;
}

async function getQuietPort(): Promise<number> {
  const port = takeNext();
  return (await reserve(port)) && (await isFree(port)) ? port : getQuietPort();
}

/**
 * Ports that no other process is given until this one ends, and that stay free while nobody listens
 * to them. For daemons that must know a port before they listen, or return to it.
 *
 * @example
 * ```ts
 * const [callers, status] = await getQuietPorts(2);
 * ```
 * @public
 */
export function reservePorts(count: number): Promise<number[]> {
  return Promise.all(Array.from({ length: count }, getQuietPort));
}
