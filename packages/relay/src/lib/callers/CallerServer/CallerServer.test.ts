import { ManualClock } from '@apricotrill/utils';
import { once } from 'node:events';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { CallerServer } from './CallerServer.js';

const REQUEST = 'GET /x HTTP/1.1\r\nhost: a.example\r\n\r\n';

/** All that came until the other end closed; `reset` where it broke off. */
async function readToEnd(socket: Socket): Promise<string> {
  let text = '';
  socket.setEncoding('utf8').on('data', (piece: string) => {
    text += piece;
  });
  await once(socket, 'close').catch(() => {
    text = 'reset';
  });
  return text;
}

describe('the port for callers, when its daemon stops', () => {
  const clock = new ManualClock();
  let server: CallerServer;
  let port: number;
  const callers: Socket[] = [];

  beforeEach(async () => {
    server = new CallerServer({
      clock,
      onRequest: (_request, response) => response.end('answer'),
      onMalformed: () => undefined,
    });
    port = await server.listen('127.0.0.1', 0);
  });

  afterEach(() => {
    callers.splice(0).forEach((caller) => caller.destroy());
    server.dispose();
  });

  async function openConnection(): Promise<Socket> {
    const caller = connect(port, '127.0.0.1');
    callers.push(caller);
    await once(caller, 'connect');
    while (server.openConnections < callers.length) {
      // eslint-disable-next-line no-await-in-loop
      await new Promise(setImmediate);
    }
    return caller;
  }

  // A daemon that was told to stop answers for three seconds more and asks each caller to close, so
  // that callers open a new connection for each call. Then it closes its port and ended every
  // connection without a request: also one that a caller had opened 24 ms before, whose request was
  // on its way. The caller saw a reset, and no replica had its call. The log of the run:
  // `port-closed busy=2 arriving=0 resting=1 unused=1 youngestUnused=24.1`, one millisecond after
  // the daemon's port closed the call was cut, 25 ms after it was sent.
  it('answers the first request on a connection that was just opened', async () => {
    const caller = await openConnection();
    const answer = readToEnd(caller);
    server.drain();
    expect(await server.stopListening()).toMatchObject({ unused: 1 });
    caller.write(REQUEST);
    expect(await answer).toMatch(/^HTTP\/1.1 200 OK\r\n[^]*connection: close\r\n[^]*answer/i);
    expect(server.openConnections).toBe(0);
  });

  // A caller's connection is complete for the kernel before the daemon has accepted it. A port that is
  // closed in that moment resets it, with the request that was sent on it; the daemon never knows.
  it('answers on a connection that was waiting to be accepted', async () => {
    const caller = connect(port, '127.0.0.1');
    callers.push(caller);
    const answer = readToEnd(caller);
    caller.write(REQUEST);
    await new Promise<void>((resolve) => {
      process.nextTick(resolve);
    });
    expect(server.openConnections).toBe(0);
    await server.stopListening();
    expect(await answer).toMatch(/^HTTP\/1.1 200 OK\r\n/);
  });

  it('waits no longer than a second for a first request', async () => {
    const caller = await openConnection();
    const answer = readToEnd(caller);
    await server.stopListening();
    clock.advance(999);
    expect(server.openConnections).toBe(1);
    clock.advance(1);
    expect(await answer).toBe('');
  });
});
