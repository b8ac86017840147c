import { AttemptEnd } from '../decide/messages.js';
import { findHeader } from '../protocol/connectionHeaders.js';
import type { RelayProtocol } from '../protocol/RelayProtocol.js';
import { AnswerReader } from './AnswerReader.js';
import type { AttemptResult } from './AnswerReader.js';

/** Headers of its own, so that nothing here depends on those of a platform. */
const PROTOCOL: RelayProtocol = {
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
  }),
};

const GOOD = ['Request', 'r-1', 'Signed', 'yes'];

function read(isStream: boolean) {
  const results: AttemptResult[] = [];
  const events: string[] = [];
  let rest = '';
  let heads = 0;
  let isStopped = false;
  const reader = new AnswerReader({
    requestId: 'r-1',
    isStream,
    protocol: PROTOCOL,
    stop: () => {
      isStopped = true;
    },
    listener: {
      onFields: () => undefined,
      onFirstByte: () => undefined,
      onStream: () => {
        heads += 1;
      },
      onEvents: (came) => events.push(...came.map(({ bytes }) => bytes.toString())),
      onRest: (bytes) => {
        rest += bytes.toString();
      },
      onResult: (result) => results.push(result),
    },
  });
  return {
    reader,
    results,
    events,
    getRest: () => rest,
    getHeads: () => heads,
    isStopped: () => isStopped,
  };
}

describe('AnswerReader', () => {
  it('holds a plain answer until it is whole', () => {
    const { reader, results } = read(false);
    reader.onHead({ status: 200, rawHeaders: GOOD });
    reader.onBody(Buffer.from('ab'));
    reader.onBody(Buffer.from('cd'));
    expect(results).toHaveLength(0);
    reader.onEnd();
    expect(results[0]).toMatchObject({ end: AttemptEnd.Completed, status: 200 });
    expect(results[0]!.answer!.body.toString()).toBe('abcd');
  });

  // Symptom: a caller gets another caller's answer. Sequence: a replica sends a second answer late,
  // where the next request's is due. Cause: whatever came next on the connection was taken for it.
  it('takes no answer to another request', () => {
    const { reader, results, isStopped } = read(false);
    reader.onHead({ status: 200, rawHeaders: ['Request', 'r-0', 'Signed', 'yes'] });
    reader.onBody(Buffer.from('ab'));
    reader.onEnd();
    expect(results).toMatchObject([{ end: AttemptEnd.Broken, answer: undefined }]);
    expect(isStopped()).toBe(true);
  });

  it('takes no success that the replica does not vouch for, or that is encoded', () => {
    const unsigned = read(false);
    unsigned.reader.onHead({ status: 200, rawHeaders: ['Request', 'r-1'] });
    const encoded = read(false);
    encoded.reader.onHead({ status: 200, rawHeaders: [...GOOD, 'Content-Encoding', 'gzip'] });
    [unsigned, encoded].forEach(({ results }) =>
      expect(results).toMatchObject([{ end: AttemptEnd.Broken }]),
    );
  });

  it('believes a refusal by its head alone, if it is not of another request', () => {
    const refusal = read(false);
    refusal.reader.onHead({ status: 503, rawHeaders: ['Refused', '1'] });
    refusal.reader.onError(new Error('cut'), true);
    expect(refusal.results).toMatchObject([{ end: AttemptEnd.Refused }]);
    const stray = read(false);
    stray.reader.onHead({ status: 503, rawHeaders: ['Refused', '1', 'Request', 'r-0'] });
    expect(stray.results).toMatchObject([{ end: AttemptEnd.Broken }]);
  });

  it('tells a failure of the replica, another replica, and a send that never left', () => {
    const failed = read(false);
    failed.reader.onHead({ status: 500, rawHeaders: GOOD });
    failed.reader.onEnd();
    expect(failed.results).toMatchObject([{ end: AttemptEnd.Failed, status: 500 }]);
    const other = read(false);
    other.reader.onHead({ status: 421, rawHeaders: ['Misdirected', '1'] });
    other.reader.onEnd();
    expect(other.results).toMatchObject([{ end: AttemptEnd.Misdirected }]);
    const unsent = read(false);
    unsent.reader.onError(new Error('refused'), false);
    expect(unsent.results).toMatchObject([{ end: AttemptEnd.NotSent }]);
  });

  // Symptom: a caller gets half an event, and the stream goes on elsewhere with the next. Sequence:
  // a replica crashes in the middle of an event. Cause: bytes were passed on as they came.
  it('passes on whole events only, and the rest only where the stream ended in order', () => {
    const cut = read(true);
    cut.reader.onHead({ status: 200, rawHeaders: GOOD });
    cut.reader.onBody(Buffer.from('id: 1\ndata: a\n\nid: 2\nda'));
    cut.reader.onError(new Error('reset'), true);
    expect(cut.events).toEqual(['id: 1\ndata: a\n\n']);
    expect(cut.getRest()).toBe('');
    expect(cut.results).toMatchObject([{ end: AttemptEnd.Broken }]);
    const whole = read(true);
    whole.reader.onHead({ status: 200, rawHeaders: GOOD });
    whole.reader.onBody(Buffer.from('id: 1\ndata: a\n\n: bye'));
    whole.reader.onEnd();
    expect(whole.getRest()).toBe(': bye');
    expect(whole.results).toMatchObject([{ end: AttemptEnd.Completed }]);
  });

  it('starts no stream before its first event is whole', () => {
    const { reader, getHeads } = read(true);
    reader.onHead({ status: 200, rawHeaders: GOOD });
    reader.onBody(Buffer.from('id: 1\n'));
    expect(getHeads()).toBe(0);
    reader.onBody(Buffer.from('data: a\n\n'));
    expect(getHeads()).toBe(1);
  });
});
