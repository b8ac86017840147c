import { createServer } from 'node:net';

/**
 * Below the ports that the system gives to outgoing connections: a daemon that restarts finds its
 * port free when it comes back.
 */
const FIRST_PORT = 10_000;

const LAST_PORT = 32_000;

/** Measurements at the same time begin somewhere else each. */
let next = FIRST_PORT + ((process.pid * 131) % (LAST_PORT - FIRST_PORT));

function isFree(host: string, port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/**
 * A port that is free and stays so while nobody listens at it; for what can't take any free port.
 *
 * @internal
 */
export async function getQuietPort(host: string): Promise<number> {
  for (;;) {
    const port = next;
    next = port === LAST_PORT ? FIRST_PORT : port + 1;
    // One port after the other until one is free.
    // eslint-disable-next-line no-await-in-loop
    if (await isFree(host, port)) {
      return port;
    }
  }
}
