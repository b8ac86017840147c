import { createServer } from 'node:net';
import type { Server } from 'node:net';

/**
 * The range lies below the ports that the system assigns to outgoing connections, so that the port
 * of a daemon stays free while the daemon is down.
 */
const FIRST_PORT = 10_000;

const LAST_PORT = 32_000;

const HOST = '127.0.0.1';

/** A port is reserved by listening at this address, which leaves it free at {@link HOST}. */
const RESERVATION_HOST = '127.0.0.2';

/** Processes start at different ports to avoid collisions. */
let nextCandidate = FIRST_PORT + ((process.pid * 131) % (LAST_PORT - FIRST_PORT));

/** @returns undefined if the port is in use */
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

/** Reserves a port for this process until it exits. */
async function reserve(port: number): Promise<boolean> {
  const server = await listen(RESERVATION_HOST, port);
  server?.unref();
  return server !== undefined;
}

function takeCandidate(): number {
  const port = nextCandidate;
  nextCandidate = port === LAST_PORT ? FIRST_PORT : port + 1;
  return port;
}

async function reservePort(): Promise<number> {
  const port = takeCandidate();
  return (await reserve(port)) && (await isFree(port)) ? port : reservePort();
}

/**
 * Reserves free ports that no other process is given until this one exits. For daemons that must
 * know their port before they listen, or that listen on the same port again after a restart.
 *
 * @example
 * ```ts
 * const [callers, status] = await reservePorts(2);
 * ```
 * @public
 */
export function reservePorts(count: number): Promise<number[]> {
  return Promise.all(Array.from({ length: count }, reservePort));
}
