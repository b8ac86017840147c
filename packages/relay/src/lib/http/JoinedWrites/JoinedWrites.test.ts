import { listenOn } from '@apricotrill/lifecycle';
import { once } from 'node:events';
import { createServer } from 'node:http';
import type { Server, ServerResponse } from 'node:http';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { JoinedWrites } from './JoinedWrites.js';

const PART = Buffer.from('a\n\n');

const COUNT = 1_000;

describe('JoinedWrites', () => {
  let server: Server;

  let socket: Socket;

  let response: ServerResponse;

  beforeEach(async () => {
    server = createServer();
    const port = await listenOn(server, '127.0.0.1', 0);
    const requested = once(server, 'request');
    socket = connect(port, '127.0.0.1');
    socket.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n');
    [, response] = (await requested) as [unknown, ServerResponse];
    response.writeHead(200);
  });

  afterEach(() => {
    socket.destroy();
    server.close();
    server.closeAllConnections();
  });

  async function receive(): Promise<string> {
    let text = '';
    socket.on('data', (bytes) => {
      text += String(bytes);
    });
    await once(socket, 'close');
    return text;
  }

  // Guards against callers who do not read, and for whom small events fill the heap.
  it('writes what is added at the same time as one chunk', async () => {
    const writes = new JoinedWrites(response);
    for (let index = 0; index < COUNT; index += 1) {
      writes.add(PART);
    }
    expect(writes.queuedBytes).toBeGreaterThanOrEqual(COUNT * PART.length);
    writes.flush();
    response.shouldKeepAlive = false;
    response.end();
    const text = await receive();
    const size = (COUNT * PART.length).toString(16);
    expect(text.endsWith(`\r\n\r\n${size}\r\n${String(PART).repeat(COUNT)}\r\n0\r\n\r\n`)).toBe(
      true,
    );
  });

  it('writes without being told, after what is read at the same time', async () => {
    const writes = new JoinedWrites(response);
    writes.add(PART);
    expect(response.headersSent && writes.queuedBytes >= PART.length).toBe(true);
    const [bytes] = (await once(socket, 'data')) as [Buffer];
    expect(String(bytes)).toContain('3\r\na\n\n\r\n');
  });

  // Guards against a stream that waits for a caller who reads all the time.
  it('emits drain after each time that the caller does not keep up', async () => {
    const writes = new JoinedWrites(response);
    const bytes = Buffer.alloc(response.writableHighWaterMark);
    socket.resume();
    for (let index = 0; index < 20; index += 1) {
      expect(writes.add(bytes)).toBe(false);
      // eslint-disable-next-line no-await-in-loop
      await once(response, 'drain');
    }
  });

  it('drops what is added to a closed response', async () => {
    const writes = new JoinedWrites(response);
    writes.add(PART);
    response.destroy();
    writes.flush();
    writes.add(PART);
    await once(response, 'close');
    expect(writes.queuedBytes).toBe(response.writableLength);
  });
});
