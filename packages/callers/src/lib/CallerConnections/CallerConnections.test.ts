import { ManualClock } from '@apricotrill/utils';
import { EventEmitter } from 'node:events';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { CallerConnections } from './CallerConnections.js';

const HEADERS_TIMEOUT = 5000;
const CALLER_STALL = 30_000;
const FIRST_REQUEST = 1000;

/** A fake socket or response that records only whether it was destroyed. */
class FakeStream extends EventEmitter {
  bytesRead = 0;

  isDestroyed = false;

  destroySoon(): void {
    this.destroy();
  }

  destroy(): void {
    this.isDestroyed = true;
    this.emit('close');
  }
}

describe('CallerConnections', () => {
  function setUp() {
    const clock = new ManualClock();
    const connections = new CallerConnections({
      clock,
      headersTimeout: HEADERS_TIMEOUT,
      firstRequestTimeout: FIRST_REQUEST,
      callerStallTimeout: CALLER_STALL,
    });
    const open = () => {
      const socket = new FakeStream();
      connections.add(socket as unknown as Socket);
      return socket;
    };
    const beginRequest = (socket: FakeStream) => {
      const response = new FakeStream();
      Object.assign(socket, { bytesRead: socket.bytesRead + 100 });
      const request = { socket, complete: true } as unknown as IncomingMessage;
      connections.trackRequest(request, response as unknown as ServerResponse);
      return response;
    };
    return { clock, connections, open, beginRequest };
  }

  // Guards against a daemon that never stops because the shutdown waits for connections that never
  // carried a request, or whose request is complete, and nothing closes them.
  it('closes idle connections at once, and others when their request is complete', () => {
    const { clock, connections, open, beginRequest } = setUp();
    const unused = open();
    const used = open();
    beginRequest(used).emit('close');
    const busy = open();
    const response = beginRequest(busy);
    connections.drain();
    clock.advance(HEADERS_TIMEOUT);
    expect([unused.isDestroyed, used.isDestroyed, busy.isDestroyed]).toEqual([true, true, false]);
    response.emit('close');
    expect(busy.isDestroyed).toBe(true);
    const late = open();
    clock.advance(FIRST_REQUEST);
    expect(late.isDestroyed).toBe(true);
  });

  // Guards against a call that fails a few milliseconds after it was sent. The caller has just
  // opened the connection and its request arrives after the daemon has closed the port; the
  // connection must not be treated as idle.
  it('waits a short time for the first request on a new connection', () => {
    const { clock, connections, open, beginRequest } = setUp();
    const old = open();
    clock.advance(FIRST_REQUEST);
    const [recent, unused, partial] = [open(), open(), open()];
    clock.advance(1);
    expect(connections.drain()).toMatchObject({ unused: 4, youngestUnused: 1 });
    expect([old.isDestroyed, recent.isDestroyed]).toEqual([true, false]);
    const response = beginRequest(recent);
    partial.bytesRead = 10;
    clock.advance(FIRST_REQUEST - 1);
    expect([recent.isDestroyed, unused.isDestroyed, partial.isDestroyed]).toEqual([
      false,
      true,
      false,
    ]);
    response.emit('close');
    clock.advance(HEADERS_TIMEOUT);
    expect([recent.isDestroyed, partial.isDestroyed]).toEqual([true, true]);
  });

  // Guards against the loss of a request that has partly arrived when the daemon closes the port:
  // its connection must not be treated as idle.
  it('lets a partly received request complete within the header timeout', () => {
    const { clock, connections, open, beginRequest } = setUp();
    const slow = open();
    const stuck = open();
    slow.bytesRead = 10;
    stuck.bytesRead = 10;
    connections.drain();
    clock.advance(HEADERS_TIMEOUT - 1);
    const response = beginRequest(slow);
    clock.advance(1);
    expect([slow.isDestroyed, stuck.isDestroyed]).toEqual([false, true]);
    response.emit('close');
    expect(slow.isDestroyed).toBe(true);
  });

  // Guards against a daemon that never stops because a caller does not read the last bytes of a
  // response that the daemon has finished writing.
  it('destroys a response whose last bytes the caller does not read', () => {
    const { clock, open, beginRequest } = setUp();
    const [stuck, read] = [beginRequest(open()), beginRequest(open())];
    stuck.emit('prefinish');
    read.emit('prefinish');
    read.emit('close');
    clock.advance(CALLER_STALL);
    expect([stuck.isDestroyed, read.isDestroyed]).toEqual([true, false]);
  });
});
