import { ManualClock } from '@apricotrill/utils';
import { EventEmitter } from 'node:events';
import type { IncomingMessage } from 'node:http';
import { readBody } from './BodyReader.js';

const LIMITS = { maxBytes: 10, timeout: 1_000 };

function createRequest(headers: Record<string, string> = { 'content-length': '5' }) {
  return Object.assign(new EventEmitter(), { headers });
}

describe('readBody', () => {
  function setUp(headers?: Record<string, string>) {
    const clock = new ManualClock();
    const request = createRequest(headers);
    const result = readBody(request as unknown as IncomingMessage, LIMITS, clock);
    return { clock, request, result };
  }

  it('returns a complete body, or none if the headers announce none', async () => {
    const { request, result } = setUp();
    request.emit('data', Buffer.from('he'));
    request.emit('data', Buffer.from('llo'));
    request.emit('end');
    expect(await result).toEqual({ kind: 'whole', body: Buffer.from('hello') });
    const empty = setUp({});
    empty.request.emit('end');
    expect(await empty.result).toEqual({ kind: 'whole', body: undefined });
  });

  it('rejects a body that is too large by its headers or by its bytes', async () => {
    expect(await setUp({ 'content-length': '11' }).result).toEqual({ kind: 'too-large' });
    const { request, result } = setUp({ 'transfer-encoding': 'chunked' });
    request.emit('data', Buffer.alloc(11));
    expect(await result).toEqual({ kind: 'too-large' });
  });

  // Guards against callers that send a byte of their bodies from time to time and so use up the
  // sockets and the memory of a daemon that limits only the time for the headers.
  it('rejects a body that arrives too slowly', async () => {
    const { clock, request, result } = setUp();
    for (let index = 0; index < 4; index += 1) {
      clock.advance(250);
      request.emit('data', Buffer.from('x'));
    }
    expect(await result).toEqual({ kind: 'too-slow' });
    expect(() => request.emit('error', new Error('late'))).not.toThrow();
  });

  it('reports a caller that disconnects before the body is complete', async () => {
    const { request, result } = setUp();
    request.emit('data', Buffer.from('he'));
    request.emit('close');
    expect(await result).toEqual({ kind: 'cut' });
  });
});
