import { SystemClock } from '@apricotrill/utils';
import { once } from 'node:events';
import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import type { RelayReplica } from '../../config/RelayConfiguration.js';
import { UpstreamConnections } from '../UpstreamConnections/UpstreamConnections.js';
import { UpstreamExchange } from './UpstreamExchange.js';
import type { ResponseHead } from './UpstreamExchange.js';

interface Ending {
  kind: 'end' | 'error';
  isSent: boolean;
  head: ResponseHead | undefined;
  body: string;
}

const REQUEST = { method: 'GET', target: '/a', rawHeaders: ['Host', 'a'], body: undefined };

function createReplica(port: number): RelayReplica {
  return {
    id: `i-${port}`,
    name: `i-${port}`,
    service: 's',
    address: `127.0.0.1:${port}`,
    availabilityZone: 'a',
    slots: 1,
    isDraining: false,
    warmupLeft: 0,
  };
}

/** A connection is free again once the event loop has looked at what came behind the answer. */
function turn(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(() => setImmediate(resolve));
  });
}

describe('UpstreamExchange', () => {
  let server: Server | undefined;
  const connections = new UpstreamConnections(() => undefined);

  function listen(onSocket: (socket: Socket) => void): Promise<number> {
    const listening = createServer(onSocket);
    server = listening;
    return new Promise((resolve) => {
      listening.listen(0, '127.0.0.1', () => resolve((listening.address() as AddressInfo).port));
    });
  }

  function run(port: number, connection = connections.take(createReplica(port))): Promise<Ending> {
    const replica = createReplica(port);
    return new Promise((resolve) => {
      let head: ResponseHead | undefined;
      let body = '';
      const end = (kind: 'end' | 'error', isSent: boolean) => resolve({ kind, isSent, head, body });
      new UpstreamExchange(new SystemClock(), {
        onHead: (received) => {
          head = received;
        },
        onBody: (bytes) => {
          body += bytes.toString();
        },
        onEnd: () => end('end', true),
        onError: (_error, isSent) => end('error', isSent),
      }).run(connection, REQUEST, () => connections.giveBack(replica, connection));
    });
  }

  afterEach(async () => {
    await connections.dispose();
    server?.close();
    server = undefined;
  });

  // Symptom: daemons end by themselves while a replica is down. Sequence: a replica crashes, a
  // request is sent to it, the connection is refused. Cause: the connector's failure was handed on
  // as a connection that isn't there.
  it('says of a refused connection that nothing was sent', async () => {
    const port = await listen(() => undefined);
    await new Promise((resolve) => {
      server!.close(resolve);
    });
    await expect(run(port)).resolves.toMatchObject({ kind: 'error', isSent: false });
  });

  // Symptom: a caller gets a success whose body is short. Sequence: a replica answers without a
  // length and crashes in the middle. Cause: the HTTP client takes the reset for the answer's end.
  it('does not take a reset for the end of an answer without length', async () => {
    const port = await listen((socket) => {
      socket.once('data', () => {
        socket.write('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf', () => {
          setImmediate(() => socket.resetAndDestroy());
        });
      });
    });
    const ending = await run(port);
    expect(ending).toMatchObject({ kind: 'error', isSent: true });
  });

  it('takes the end of the connection for the end of an answer without length', async () => {
    const port = await listen((socket) => {
      socket.once('data', () => socket.end('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole'));
    });
    await expect(run(port)).resolves.toMatchObject({ kind: 'end', body: 'whole' });
  });

  // Symptom: a caller gets another caller's answer. Sequence: a replica sends a second answer after
  // the first; the next request on the connection finds it waiting. Cause: bytes that belong to no
  // request were left on a connection that is used again.
  it('gives up a connection on which more came than was asked for', async () => {
    const answer = 'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1';
    let opened = 0;
    const port = await listen((socket) => {
      opened += 1;
      socket.on('error', () => undefined);
      socket.on('data', () => socket.write(answer + answer));
    });
    await expect(run(port)).resolves.toMatchObject({ kind: 'end', body: '1' });
    await expect(run(port)).resolves.toMatchObject({ kind: 'end', body: '1' });
    expect(opened).toBe(2);
  });

  // Symptom: an answer that came whole is cut off at its end. Sequence: a resting connection is reset
  // in the moment in which a request takes it; the client opens another and sends the request there;
  // the answer comes whole. Cause: the break of the first socket was held against the second.
  it('does not hold the break of an earlier socket against an answer', async () => {
    const sockets: Socket[] = [];
    const port = await listen((socket) => {
      sockets.push(socket);
      socket.on('error', () => undefined);
      socket.on('data', () => socket.write('HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1'));
    });
    await run(port);
    await turn();
    const connection = connections.take(createReplica(port));
    const broken = once(connection.client, 'disconnect');
    sockets[0]!.resetAndDestroy();
    await broken;
    await expect(run(port, connection)).resolves.toMatchObject({ kind: 'end', body: '1' });
    expect(sockets).toHaveLength(2);
  });

  it('uses a connection again', async () => {
    let opened = 0;
    const port = await listen((socket) => {
      opened += 1;
      socket.on('data', () => socket.write('HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1'));
    });
    await run(port);
    await turn();
    await run(port);
    expect(opened).toBe(1);
  });
});
