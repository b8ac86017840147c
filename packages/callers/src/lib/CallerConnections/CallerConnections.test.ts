import { ManualClock } from '@apricotrill/utils';
import { EventEmitter } from 'node:events';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { CallerConnections } from './CallerConnections.js';

const HEADERS_TIMEOUT = 5000;
const CALLER_STALL = 30_000;
const FIRST_REQUEST = 1000;

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
      firstRequest: FIRST_REQUEST,
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
      connections.trackRequest(request, response as unknown as ServerResponse);
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
    const late = open();
    clock.advance(FIRST_REQUEST);
    expect(late.ended).toBe(true);
  });

  // Symptom: a call fails a few milliseconds after it was sent, as its daemon closes. Sequence: its
  // caller has just opened the connection; its request arrives after the port was closed. Cause: a
  // connection that is about to carry its first request taken for one that rests.
  it('waits a moment for the first request on a connection that was just opened', () => {
    const { clock, connections, open, begin } = setUp();
    const old = open();
    clock.advance(FIRST_REQUEST);
    const [fresh, unused, half] = [open(), open(), open()];
    clock.advance(1);
    expect(connections.drain()).toMatchObject({ unused: 4, youngestUnused: 1 });
    expect([old.ended, fresh.ended]).toEqual([true, false]);
    const answer = begin(fresh);
    half.bytesRead = 10;
    clock.advance(FIRST_REQUEST - 1);
    expect([fresh.ended, unused.ended, half.ended]).toEqual([false, true, false]);
    answer.emit('close');
    clock.advance(HEADERS_TIMEOUT);
    expect([fresh.ended, half.ended]).toEqual([true, true]);
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
