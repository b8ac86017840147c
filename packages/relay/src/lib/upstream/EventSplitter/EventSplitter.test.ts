import * as fc from 'fast-check';
import { EventSplitter } from './EventSplitter.js';

/** Counts the bytes that are copied from one buffer to another. */
function countCopiedBytes(action: () => void): number {
  const { concat } = Buffer;
  const { copy } = Buffer.prototype;
  let bytes = 0;
  Object.assign(Buffer, {
    concat: (parts: Buffer[]) => {
      const joined = concat(parts);
      bytes += joined.length;
      return joined;
    },
  });
  Object.assign(Buffer.prototype, {
    copy(this: Buffer, ...parameters: Parameters<typeof copy>) {
      const copied = copy.apply(this, parameters);
      bytes += copied;
      return copied;
    },
  });
  action();
  Object.assign(Buffer, { concat });
  Object.assign(Buffer.prototype, { copy });
  return bytes;
}

describe('EventSplitter', () => {
  it('splits a stream into complete events without changing any byte, however it is chunked', () => {
    const line = fc.constantFrom('id: 7', 'data: x', 'data: {"a":"b"}', 'event: e', ': c');
    const event = fc
      .record({
        lines: fc.array(line, { minLength: 1, maxLength: 3 }),
        end: fc.constantFrom('\n', '\r\n', '\r'),
      })
      .map(({ lines, end }) => `${lines.join(end)}${end}${end}`);
    fc.assert(
      fc.property(
        fc.array(event, { maxLength: 6 }),
        fc.constantFrom('', 'data: unfin'),
        fc.array(fc.integer({ min: 1, max: 9 }), { minLength: 1, maxLength: 20 }),
        (events, rest, sizes) => {
          const stream = Buffer.from(events.join('') + rest);
          const splitter = new EventSplitter();
          const received: string[] = [];
          let at = 0;
          for (let index = 0; at < stream.length; index += 1) {
            const size = sizes[index % sizes.length]!;
            splitter.push(stream.subarray(at, at + size)).forEach(({ bytes }) => {
              received.push(bytes.toString());
            });
            at += size;
          }
          expect(received).toEqual(events);
          expect(splitter.incompleteBytes.toString()).toBe(rest);
        },
      ),
      { seed: 3 },
    );
  });

  // Guards against copying all of an unfinished event again for each part of it.
  it('copies the parts of a long event a bounded number of times', () => {
    const part = Buffer.from(': waiting..\n'.repeat(100));
    const count = 2_000;
    const splitter = new EventSplitter();
    const bytes = countCopiedBytes(() => {
      for (let index = 0; index < count; index += 1) {
        splitter.push(part);
      }
    });
    expect(splitter.incompleteBytes.length).toBe(count * part.length);
    expect(bytes).toBeGreaterThanOrEqual(count * part.length);
    expect(bytes).toBeLessThan(4 * count * part.length);
  });

  it('keeps the bytes of events that were returned while the next ones arrive', () => {
    const splitter = new EventSplitter();
    const returned = ['id: 1\nda', 'ta: a\n\nid: 2\n', 'data: b\n\nid', ': 3\n'].flatMap((text) =>
      splitter.push(Buffer.from(text)),
    );
    expect(returned.map(({ bytes }) => bytes.toString())).toEqual([
      'id: 1\ndata: a\n\n',
      'id: 2\ndata: b\n\n',
    ]);
  });

  it('passes an event on as soon as its empty line has ended, whatever ends its lines', () => {
    ['\n', '\r', '\r\n'].forEach((end) => {
      const text = `id: 4${end}data: x${end}${end}`;
      const events = new EventSplitter().push(Buffer.from(text));
      expect(events.map(({ id, bytes }) => ({ id, text: bytes.toString() }))).toEqual([
        { id: '4', text },
      ]);
    });
  });

  it('reads the id of an event on any of its lines', () => {
    const splitter = new EventSplitter();
    const [first, second, third] = splitter.push(
      Buffer.from('id: 12\ndata: x\n\ndata: y\nid:13\n\ndata: id: 5\n\n'),
    );
    expect([first!.id, second!.id, third!.id]).toEqual(['12', '13', undefined]);
  });

  it.each([
    ['', false],
    ['id: 1\ndata: x\n\n', false],
    ['id: 1\ndata: x\n\n: a comm', false],
    ['id: 1\ndata: x\n\n: a comment\n', false],
    ['\xef\xbb\xbf', false],
    ['\xef\xbb\xbf: a comment', false],
    ['id: 1\r\ndata: x\r\n\r', false],
    ['\n', false],
    ['id: 1\r\ndata: x\r\n', true],
    ['id: 1\rdata: x\r', true],
    ['id: 1\ndata: x\n', true],
    ['id: 1\ndata: x\n: a comment\n', true],
    ['id: 1\ndata: x', true],
    ['\xef\xbb\xbfid: 1', true],
    ['d', true],
  ])('knows whether a stream that ends with %j ends inside an event', (text, isInside) => {
    const whole = new EventSplitter();
    whole.push(Buffer.from(text, 'latin1'));
    const byBytes = new EventSplitter();
    [...Buffer.from(text, 'latin1')].forEach((byte) => byBytes.push(Buffer.from([byte])));
    expect([whole.isInsideEvent, byBytes.isInsideEvent]).toEqual([isInside, isInside]);
  });

  it('reads the last id of an event, also behind a byte order mark', () => {
    const splitter = new EventSplitter();
    const [first, second] = splitter.push(
      Buffer.from('\xef\xbb\xbfid: 1\ndata: x\n\nid: 2\rid: 3\rdata: x\r\r', 'latin1'),
    );
    expect([first!.id, second!.id]).toEqual(['1', '3']);
  });
});
