import { createServer } from 'node:http';
import type { RequestListener, Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as wait } from 'node:timers/promises';
import { HttpClient } from './HttpClient.js';

const TIMEOUT = 200;

const CHUNKS = 8;

/** Keeps this process from doing anything else. */
function block(span: number): void {
  const end = performance.now() + span;
  while (performance.now() < end);
}

describe('HttpCaller', () => {
  const caller = new HttpClient();

  let server: Server;

  async function call(listener: RequestListener) {
    server = createServer(listener);
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as AddressInfo;
    const address = `127.0.0.1:${port}`;
    return caller.send({ step: 'read', method: 'GET', address, path: '/', timeout: TIMEOUT });
  }

  afterEach(() => {
    server.close();
    server.closeAllConnections();
  });

  afterAll(() => caller.dispose());

  // Guards against a large answer on a slow link that is given up and begun again for ever.
  it('lets an answer take longer than its timeout while it makes progress', async () => {
    const { text } = await call((_request, response) => {
      const write = async () => {
        for (let chunk = 0; chunk < CHUNKS; chunk += 1) {
          response.write('x');
          // eslint-disable-next-line no-await-in-loop
          await wait(TIMEOUT / 4);
        }
        response.end();
      };
      write().catch(() => response.destroy());
    });
    expect(text).toHaveLength(CHUNKS);
  });

  // Guards against connections that go silent in the middle of an answer.
  it('gives up an answer that stops', async () => {
    const answer = call((_request, response) => {
      response.write('x');
    });
    await expect(answer).rejects.toThrow(/nothing came for \d+ ms/);
  });

  // Guards against answers that are dropped since this process was busy when they came.
  it('takes an answer that came while this process was busy', async () => {
    const answer = call((_request, response) => {
      response.end('whole');
      setImmediate(() => block(2 * TIMEOUT));
    });
    expect((await answer).text).toBe('whole');
  });
});
