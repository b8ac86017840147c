import { ManualClock } from '@apricotrill/utils';
import { EventEmitter } from 'node:events';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { CallerConnections } from './CallerConnections.js';

const HEADERS_TIMEOUT = 5000;
const CALLER_STALL = 30_000;

/** A socket or an answer, of which only the end matters. */
class FakeEnd extends EventEmitter {
  bytesRead = 0;

  ended = false;

  destroySoon(): void {
    this.destroy();
  }

  destroy(): void {
    this.ended = true;
    this.emit('close');
  }
}

describe('CallerConnections', () => {
  function setUp() {
    const clock = new ManualClock();
    const connections = new CallerConnections({
      clock,
      headersTimeout: HEADERS_TIMEOUT,
      callerStall: CALLER_STALL,
    });
    const open = () => {
      const socket = new FakeEnd();
      connections.add(socket as unknown as Socket);
      return socket;
    };
    const begin = (socket: FakeEnd) => {
      const response = new FakeEnd();
      Object.assign(socket, { bytesRead: socket.bytesRead + 100 });
      const request = { socket, complete: true } as unknown as IncomingMessage;
      connections.begin(request, response as unknown as ServerResponse);
      return response;
    };
    return { clock, connections, open, begin };
  }

  // Symptom: a daemon that was told to stop never stops. Sequence: a caller keeps a connection
  // that never carried a request, or whose request is over. Cause: the shutdown waits for every
  // connection, and nobody ends these.
  it('ends connections without a request, and others when theirs is over', () => {
    const { clock, connections, open, begin } = setUp();
    const unused = open();
    const used = open();
    begin(used).emit('close');
    const busy = open();
    const answer = begin(busy);
    connections.drain();
    clock.advance(HEADERS_TIMEOUT);
    expect([unused.ended, used.ended, busy.ended]).toEqual([true, true, false]);
    answer.emit('close');
    expect(busy.ended).toBe(true);
    expect(open().ended).toBe(true);
  });

  // Symptom: a caller's request is lost though it was sent in time. Sequence: half of its head has
  // arrived when the daemon closes. Cause: a connection in the middle of a request taken for idle.
  it('lets a request come whole that has begun, for as long as a head may take', () => {
    const { clock, connections, open, begin } = setUp();
    const slow = open();
    const stuck = open();
    slow.bytesRead = 10;
    stuck.bytesRead = 10;
    connections.drain();
    clock.advance(HEADERS_TIMEOUT - 1);
    const answer = begin(slow);
    clock.advance(1);
    expect([slow.ended, stuck.ended]).toEqual([false, true]);
    answer.emit('close');
    expect(slow.ended).toBe(true);
  });

  // Symptom: the same, with an answer that is over for the daemon. Sequence: the caller never
  // reads the last bytes. Cause: an answer's end taken for its arrival.
  it('gives an answer up whose last bytes nobody reads', () => {
    const { clock, open, begin } = setUp();
    const [stuck, read] = [begin(open()), begin(open())];
    stuck.emit('prefinish');
    read.emit('prefinish');
    read.emit('close');
    clock.advance(CALLER_STALL);
    expect([stuck.ended, read.ended]).toEqual([true, false]);
  });
});
