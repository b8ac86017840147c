import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { isListening } from './isListening.js';

/** Long enough to prevent a timeout on a busy machine. */
const TIMEOUT = 60_000;

describe('isListening', () => {
  it('distinguishes an open port from a closed one', async () => {
    const server = createServer((socket) => socket.on('error', () => undefined));
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    expect(await isListening(address, TIMEOUT)).toBe(true);
    await new Promise((resolve) => {
      server.close(resolve);
    });
    expect(await isListening(address, TIMEOUT)).toBe(false);
  });
});
