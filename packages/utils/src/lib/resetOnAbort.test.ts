import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { ConnectionUnusedError, resetOnAbort } from './resetOnAbort.js';

/** Resolves when the peer of a connection has closed it. @returns whether the connection was reset */
function waitForEnd(socket: Socket): Promise<boolean> {
  socket.resume();
  return new Promise((resolve) => {
    socket.once('error', () => resolve(true));
    // A reset can be reported as an orderly end; the socket has no peer then.
    socket.once('end', () => resolve(socket.remoteAddress === undefined));
  });
}

describe('resetOnAbort', () => {
  let server: Server;

  afterEach(() => {
    server.close();
  });

  /** Opens a connection. @returns its two ends */
  async function open(): Promise<{ own: Socket; peer: Socket }> {
    server = createServer();
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const accepted = once(server, 'connection') as Promise<[Socket]>;
    const own = connect((server.address() as AddressInfo).port, '127.0.0.1');
    own.on('error', () => undefined);
    const [[peer]] = await Promise.all([accepted, once(own, 'connect')]);
    return { own: resetOnAbort(own), peer };
  }

  it('resets the connection when it is destroyed with an error, which it emits', async () => {
    const { own, peer } = await open();
    const errors: Error[] = [];
    own.on('error', (error) => errors.push(error));
    const isReset = waitForEnd(peer);
    const cause = new Error('aborted');
    own.destroy(cause);
    expect(await isReset).toBe(true);
    expect(errors).toEqual([cause]);
  });

  // Guards against a reset that waits until the peer has read what was sent.
  it('resets a connection whose peer does not read', async () => {
    const { own, peer } = await open();
    peer.on('error', () => undefined);
    own.write(Buffer.alloc(20_000_000));
    const closed = new Promise((resolve) => {
      own.once('close', resolve);
    });
    own.destroy(new Error('aborted'));
    await closed;
    peer.destroy();
  });

  it.each([undefined, new ConnectionUnusedError(), new Error('socket idle timeout')])(
    'closes an idle connection in order: %p',
    async (error) => {
      const { own, peer } = await open();
      const isReset = waitForEnd(peer);
      own.destroy(error);
      expect(await isReset).toBe(false);
    },
  );
});
