import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { guardHandler } from './guardHandler.js';
import type { Handler } from './guardHandler.js';
import { listenOn } from './listenOn.js';

async function call(handler: Handler, onFault: (error: unknown) => void): Promise<number> {
  const server = createServer(guardHandler(handler, onFault));
  await listenOn(server, '127.0.0.1', 0);
  const { port } = server.address() as AddressInfo;
  const status = await fetch(`http://127.0.0.1:${port}/`).then(
    (response) => response.text().then(() => response.status),
    () => 0,
  );
  server.close();
  server.closeAllConnections();
  return status;
}

describe('guardHandler', () => {
  const faults: unknown[] = [];

  beforeEach(() => faults.splice(0));

  // Guards against handlers whose errors end the process.
  it.each<[string, Handler]>([
    [
      'throws',
      () => {
        throw new Error('first');
      },
    ],
    ['rejects', () => Promise.reject(new Error('first'))],
  ])('fails only the request whose handler %s', async (_kind, handler) => {
    expect(await call(handler, (error) => faults.push(error))).toBe(500);
    expect(faults).toMatchObject([{ message: 'first' }]);
  });

  it('closes the connection of a response that has begun', async () => {
    const handler: Handler = (_request, response) => {
      response.write('part');
      throw new Error('first');
    };
    expect(await call(handler, (error) => faults.push(error))).toBe(0);
    expect(faults).toHaveLength(1);
  });

  it('passes responses on', async () => {
    expect(
      await call(
        (_request, response) => response.end('x'),
        () => undefined,
      ),
    ).toBe(200);
    expect(faults).toEqual([]);
  });
});
