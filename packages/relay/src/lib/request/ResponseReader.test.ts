import { AttemptEnd } from '../decide/messages.js';
import { ResponseFraming } from '../framing/getResponseFraming.js';
import { findHeader } from '../protocol/connectionHeaders.js';
import type { RelayProtocol } from '../protocol/RelayProtocol.js';
import { upstreamOptions } from '../upstream/upstreamOptions.js';
import { ResponseReader } from './ResponseReader.js';
import type { AttemptResult } from './ResponseReader.js';

/** Uses its own headers, so that the test does not depend on those of a platform. */
const PROTOCOL: RelayProtocol = {
  rankLevels: 10,
  readRequest: () => {
    throw new Error('not used');
  },
  getUpstreamHeaders: () => [],
  readResponse: ({ rawHeaders }) => ({
    requestId: findHeader(rawHeaders, 'request'),
    isSigned: findHeader(rawHeaders, 'signed') !== undefined,
    isRefusal: findHeader(rawHeaders, 'refused') !== undefined,
    isMisdirected: findHeader(rawHeaders, 'misdirected') !== undefined,
    load: undefined,
    limit: undefined,
    isLeaving: false,
    backoff: undefined,
    threshold: undefined,
  }),
};

const framing = ResponseFraming.Chunked;

const VALID_HEADERS = ['Request', 'r-1', 'Signed', 'yes'];

function createReader(isStream: boolean) {
  const results: AttemptResult[] = [];
  const events: string[] = [];
  let trailingBytes = '';
  let headCount = 0;
  let isAborted = false;
  const reader = new ResponseReader({
    requestId: 'r-1',
    isStream,
    protocol: PROTOCOL,
    abort: () => {
      isAborted = true;
    },
    listener: {
      onFields: () => undefined,
      onFirstByte: () => undefined,
      onStream: () => {
        headCount += 1;
      },
      onEvents: (received) => events.push(...received.map(({ bytes }) => bytes.toString())),
      onTrailingBytes: (bytes) => {
        trailingBytes += bytes.toString();
      },
      onUnsendable: () => undefined,
      onResult: (result) => results.push(result),
    },
  });
  return {
    reader,
    results,
    events,
    getTrailingBytes: () => trailingBytes,
    getHeadCount: () => headCount,
    isAborted: () => isAborted,
  };
}

describe('ResponseReader', () => {
  // Guards against an event without an end, which takes all the memory of the daemon.
  it('breaks off a stream with an event over the size limit, after the events before it', () => {
    const { reader, results, events, isAborted } = createReader(true);
    reader.onHead({ status: 200, rawHeaders: VALID_HEADERS, framing });
    reader.onBody(Buffer.from('id: 1\ndata: a\n\ndata: '));
    reader.onBody(Buffer.alloc(upstreamOptions.maxEventBytes, 'x'));
    expect(events).toEqual(['id: 1\ndata: a\n\n']);
    expect(isAborted()).toBe(true);
    expect(results).toHaveLength(1);
    expect(results[0]).toMatchObject({ end: AttemptEnd.Broken, response: undefined });
  });

  it('breaks off a response that has no valid status', () => {
    const { reader, results } = createReader(false);
    reader.onEnd();
    expect(results[0]).toMatchObject({ end: AttemptEnd.Broken, status: undefined });
  });

  it('buffers a plain response until it is complete', () => {
    const { reader, results } = createReader(false);
    reader.onHead({ status: 200, rawHeaders: VALID_HEADERS, framing });
    reader.onBody(Buffer.from('ab'));
    reader.onBody(Buffer.from('cd'));
    expect(results).toHaveLength(0);
    reader.onEnd();
    expect(results[0]).toMatchObject({ end: AttemptEnd.Completed, status: 200 });
    expect(results[0]!.response!.body.toString()).toBe('abcd');
  });

  // Guards against a caller that receives another caller's response: a replica sent a late second
  // response, which was used as the response to the next request on the connection.
  it('rejects a response to another request', () => {
    const { reader, results, isAborted } = createReader(false);
    reader.onHead({ status: 200, rawHeaders: ['Request', 'r-0', 'Signed', 'yes'], framing });
    reader.onBody(Buffer.from('ab'));
    reader.onEnd();
    expect(results).toMatchObject([{ end: AttemptEnd.Broken, response: undefined }]);
    expect(isAborted()).toBe(true);
  });

  it('rejects a success that is unsigned or encoded', () => {
    const unsigned = createReader(false);
    unsigned.reader.onHead({ status: 200, rawHeaders: ['Request', 'r-1'], framing });
    const encoded = createReader(false);
    encoded.reader.onHead({
      status: 200,
      rawHeaders: [...VALID_HEADERS, 'Content-Encoding', 'gzip'],
      framing,
    });
    [unsigned, encoded].forEach(({ results }) =>
      expect(results).toMatchObject([{ end: AttemptEnd.Broken }]),
    );
  });

  it('accepts a truncated refusal, unless it belongs to another request', () => {
    const refusal = createReader(false);
    refusal.reader.onHead({ status: 503, rawHeaders: ['Refused', '1'], framing });
    refusal.reader.onError(new Error('cut'), true);
    expect(refusal.results).toMatchObject([{ end: AttemptEnd.Refused }]);
    const stray = createReader(false);
    stray.reader.onHead({ status: 503, rawHeaders: ['Refused', '1', 'Request', 'r-0'], framing });
    expect(stray.results).toMatchObject([{ end: AttemptEnd.Broken }]);
  });

  it('distinguishes a failure, a misdirected request, and a request that was not sent', () => {
    const failed = createReader(false);
    failed.reader.onHead({ status: 500, rawHeaders: VALID_HEADERS, framing });
    failed.reader.onEnd();
    expect(failed.results).toMatchObject([{ end: AttemptEnd.Failed, status: 500 }]);
    const other = createReader(false);
    other.reader.onHead({ status: 421, rawHeaders: ['Misdirected', '1'], framing });
    other.reader.onEnd();
    expect(other.results).toMatchObject([{ end: AttemptEnd.Misdirected }]);
    const unsent = createReader(false);
    unsent.reader.onError(new Error('refused'), false);
    expect(unsent.results).toMatchObject([{ end: AttemptEnd.NotSent }]);
  });

  // Guards against a caller that receives half an event, after which another replica continues with the
  // next event: a replica crashed within an event, and bytes were forwarded as they arrived.
  it('forwards only complete events, and trailing bytes only if the stream ended normally', () => {
    const cut = createReader(true);
    cut.reader.onHead({ status: 200, rawHeaders: VALID_HEADERS, framing });
    cut.reader.onBody(Buffer.from('id: 1\ndata: a\n\nid: 2\nda'));
    cut.reader.onError(new Error('reset'), true);
    expect(cut.events).toEqual(['id: 1\ndata: a\n\n']);
    expect(cut.getTrailingBytes()).toBe('');
    expect(cut.results).toMatchObject([{ end: AttemptEnd.Broken }]);
    const complete = createReader(true);
    complete.reader.onHead({ status: 200, rawHeaders: VALID_HEADERS, framing });
    complete.reader.onBody(Buffer.from('id: 1\ndata: a\n\n: bye'));
    complete.reader.onEnd();
    expect(complete.getTrailingBytes()).toBe(': bye');
    expect(complete.results).toMatchObject([{ end: AttemptEnd.Completed }]);
  });

  // Guards against half a stream that its caller takes for the whole one: the bytes of the last event were
  // forwarded, and the attempt counted as completed.
  it('treats a stream that ends within an event as broken off', () => {
    const { reader, results, events, getTrailingBytes } = createReader(true);
    reader.onHead({ status: 200, rawHeaders: VALID_HEADERS, framing });
    reader.onBody(Buffer.from('id: 1\ndata: a\n\nid: 2\ndata: b\n'));
    reader.onEnd();
    expect({ events, trailing: getTrailingBytes() }).toEqual({
      events: ['id: 1\ndata: a\n\n'],
      trailing: '',
    });
    expect(results).toMatchObject([{ end: AttemptEnd.Broken, incompleteBytes: 14 }]);
  });

  it('starts a stream only when its first event is complete', () => {
    const { reader, getHeadCount } = createReader(true);
    reader.onHead({ status: 200, rawHeaders: VALID_HEADERS, framing });
    reader.onBody(Buffer.from('id: 1\n'));
    expect(getHeadCount()).toBe(0);
    reader.onBody(Buffer.from('data: a\n\n'));
    expect(getHeadCount()).toBe(1);
  });
});
