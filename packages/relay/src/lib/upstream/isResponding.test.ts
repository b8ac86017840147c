import { createServer as createHttpServer } from 'node:http';
import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { isResponding } from './isResponding.js';

const TIMEOUT = 300;

describe('isResponding', () => {
  const disposals: (() => void)[] = [];

  afterEach(() => disposals.splice(0).forEach((dispose) => dispose()));

  async function listen(server: Server): Promise<string> {
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    disposals.push(() => server.close());
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
  }

  it('is true for a response of any status', async () => {
    const server = createHttpServer((_request, response) => {
      response.statusCode = 503;
      response.end();
    });
    expect(await isResponding(await listen(server), '/healthz', TIMEOUT)).toBe(true);
  });

  // Guards against a middlebox that accepts connections in place of the replica.
  it('is false if the connection opens and carries nothing', async () => {
    const sockets: Socket[] = [];
    disposals.push(() => sockets.forEach((socket) => socket.destroy()));
    const server = createServer((socket) => sockets.push(socket));
    expect(await isResponding(await listen(server), '/healthz', TIMEOUT)).toBe(false);
  });

  // Guards against a probe that goes on as long as bytes arrive.
  it('is false if a head has no end', async () => {
    const server = createServer((socket) => {
      const write = () => {
        if (!socket.destroyed) {
          socket.write('HTTP/1.1 102 Processing\r\n\r\n', () => setImmediate(write));
        }
      };
      socket.on('error', () => undefined);
      socket.once('data', write);
    });
    expect(await isResponding(await listen(server), '/healthz', TIMEOUT)).toBe(false);
  });

  it('is false if the connection is reset', async () => {
    const server = createServer((socket) => {
      socket.on('data', () => socket.resetAndDestroy());
      socket.on('error', () => undefined);
    });
    expect(await isResponding(await listen(server), '/healthz', TIMEOUT)).toBe(false);
  });
});
