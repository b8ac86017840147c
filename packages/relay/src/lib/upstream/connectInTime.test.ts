import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { connectInTime } from './connectInTime.js';

/** Longer than opening a connection on loopback takes on a busy machine. */
const TIMEOUT = 60_000;

function open(hostname: string, port: number): Promise<Error | undefined> {
  const options = { hostname, port: String(port), protocol: 'http:', host: hostname };
  return new Promise((resolve) => {
    connectInTime(TIMEOUT)(options, (error, socket) => {
      socket?.destroy();
      resolve(error ?? undefined);
    });
  });
}

describe('connectInTime', () => {
  it('opens a connection, and reports one that is refused', async () => {
    const server = createServer();
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as AddressInfo;
    expect(await open('127.0.0.1', port)).toBeUndefined();
    await new Promise((resolve) => {
      server.close(resolve);
    });
    expect(await open('127.0.0.1', port)).toMatchObject({ code: 'ECONNREFUSED' });
  });
});
