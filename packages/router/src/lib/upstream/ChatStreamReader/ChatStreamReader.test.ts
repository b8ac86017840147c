import * as fc from 'fast-check';
import type { ChatChunk, ChatToken } from '../ChatChunk.js';
import { ChatStreamReader } from './ChatStreamReader.js';

const NAME = '0f0e/2';
const FOREIGN = '0f0e/1';

/** One event of a stream, as sent by an engine or mixed in from another response. */
type Event =
  | { kind: 'token'; name: string; index: number }
  | { kind: 'role' }
  | { kind: 'finish'; name: string }
  | { kind: 'done' };

/** Returns the text of a token: some have more bytes than characters, and some are empty. */
function getText(index: number): string {
  return index % 7 === 3 ? '' : ` ääni-${index}`;
}

function encode(event: Event): string {
  switch (event.kind) {
    case 'token': {
      const text = event.name === NAME ? getText(event.index) : ' foreign';
      const choices = [{ index: 0, delta: { content: text }, finish_reason: null }];
      // Engines format JSON differently; only the usual format may be forwarded unparsed.
      const space = event.index % 5 === 4 ? 1 : undefined;
      const lines = JSON.stringify({ id: event.name, choices }, undefined, space).split('\n');
      return `id: ${event.index}\n${lines.map((line) => `data: ${line}\n`).join('')}\n`;
    }
    case 'role': {
      const choices = [{ index: 0, delta: { role: 'assistant', content: '' } }];
      return `data: ${JSON.stringify({ id: NAME, choices })}\n\n`;
    }
    case 'finish': {
      const choices = [{ index: 0, delta: {}, finish_reason: 'stop' }];
      return `data: ${JSON.stringify({ id: event.name, choices })}\n\n`;
    }
    default:
      return 'data: [DONE]\n\n';
  }
}

/** Records what the reader reports about a stream. */
class RecordingListener {
  readonly texts: string[] = [];

  droppedCount = 0;

  finishCount = 0;

  readonly acceptsRawTokens: boolean;

  constructor(acceptsRawTokens: boolean) {
    this.acceptsRawTokens = acceptsRawTokens;
  }

  onToken(token: ChatToken): void {
    const chunk = token.kind === 'tail' ? (JSON.parse(`{${token.tail}`) as ChatChunk) : token.chunk;
    this.texts.push(chunk.choices?.[0]?.delta.content ?? '');
  }

  onFinish(): void {
    this.finishCount += 1;
  }

  onDropped(): void {
    this.droppedCount += 1;
  }
}

interface ReadOptions {
  resumeAt?: number;
  cutAt?: number;
  chunkSizes?: number[];
  acceptsRawTokens?: boolean;
}

function read(
  events: readonly Event[],
  { resumeAt = 0, cutAt = Infinity, chunkSizes = [1000], acceptsRawTokens = false }: ReadOptions,
) {
  const listener = new RecordingListener(acceptsRawTokens);
  const reader = new ChatStreamReader(NAME, resumeAt, listener);
  const bytes = Buffer.from(events.map(encode).join('')).subarray(0, cutAt);
  let from = 0;
  for (let turn = 0; from < bytes.length; turn += 1) {
    const size = chunkSizes[turn % chunkSizes.length]!;
    reader.feed(bytes.subarray(from, from + size));
    from += size;
  }
  return { listener, reader };
}

/** Creates a response of `count` tokens as a healthy engine streams it from `resumeAt` on. */
function getStream(resumeAt: number, count: number): Event[] {
  const tokens: Event[] = Array.from({ length: count - resumeAt }, (_, offset) => ({
    kind: 'token',
    name: NAME,
    index: resumeAt + offset,
  }));
  return [...tokens, { kind: 'finish', name: NAME }, { kind: 'done' }];
}

/** Computes what a caller must receive from the list of events alone. */
function getExpected(events: readonly Event[], resumeAt: number) {
  let next = resumeAt;
  let gap = false;
  let finished = false;
  let complete = false;
  events.forEach((event) => {
    if (gap || complete) {
      return;
    }
    if (event.kind === 'token' && event.name === NAME) {
      gap = event.index > next || (event.index === next && finished);
      next += !gap && event.index === next ? 1 : 0;
    } else if (event.kind === 'finish' && event.name === NAME) {
      finished = true;
    } else if (event.kind === 'done') {
      complete = finished;
    }
  });
  const texts = Array.from({ length: next - resumeAt }, (_, offset) => getText(resumeAt + offset));
  return { texts, gap, complete };
}

const foreign: fc.Arbitrary<Event> = fc.oneof(
  fc.record({
    kind: fc.constant('token' as const),
    name: fc.constant(FOREIGN),
    index: fc.nat(12),
  }),
  fc.record({ kind: fc.constant('finish' as const), name: fc.constant(FOREIGN) }),
  fc.constant({ kind: 'done' as const }),
  fc.constant({ kind: 'role' as const }),
);

const repeated: fc.Arbitrary<Event> = fc.record({
  kind: fc.constant('token' as const),
  name: fc.constant(NAME),
  index: fc.nat(9),
});

/** A stream with events inserted and removed at arbitrary positions. */
const corruptedStream = fc
  .record({
    resumeAt: fc.nat(4),
    length: fc.nat(8),
    added: fc.array(fc.tuple(fc.nat(12), fc.oneof(foreign, repeated)), { maxLength: 6 }),
    removed: fc.array(fc.nat(12), { maxLength: 2 }),
  })
  .map(({ resumeAt, length, added, removed }) => {
    const stream = getStream(resumeAt, resumeAt + length).filter(
      (_event, place) => !removed.includes(place),
    );
    added.forEach(([place, event]) => stream.splice(place, 0, event));
    return { resumeAt, stream };
  });

const chunkSizesArbitrary = fc.array(fc.integer({ min: 1, max: 90 }), {
  minLength: 1,
  maxLength: 5,
});

describe('ChatStreamReader', () => {
  // Guards against delivering foreign, repeated or missing tokens, or a truncated response as complete:
  // a response can arrive late, mixed with another, or with events lost or repeated, in reads that end
  // anywhere.
  it('delivers exactly the tokens of its own attempt, in order', () => {
    fc.assert(
      fc.property(
        corruptedStream,
        chunkSizesArbitrary,
        fc.boolean(),
        ({ resumeAt, stream }, chunkSizes, acceptsRawTokens) => {
          const { listener, reader } = read(stream, {
            resumeAt,
            chunkSizes,
            acceptsRawTokens,
          });
          const expected = getExpected(stream, resumeAt);
          expect(listener.texts).toEqual(expected.texts);
          expect(reader.isComplete()).toBe(expected.complete && !expected.gap);
          expect(reader.getFault() !== undefined).toBe(expected.gap);
        },
      ),
      { seed: 20250, numRuns: 3000 },
    );
  });

  // Guards against taking the end of the connection for the end of the response: the engine can fail or
  // the connection can close after any byte, and a truncated response must not look complete.
  it('does not report a truncated response as complete', () => {
    fc.assert(
      fc.property(
        fc.nat(6),
        fc.nat(2000),
        chunkSizesArbitrary,
        fc.boolean(),
        (count, cut, chunkSizes, acceptsRawTokens) => {
          const stream = getStream(0, count);
          const { length } = Buffer.from(stream.map(encode).join(''));
          const at = cut % length;
          const { listener, reader } = read(stream, {
            cutAt: at,
            chunkSizes,
            acceptsRawTokens,
          });
          expect(reader.isComplete()).toBe(false);
          const expected = Array.from({ length: count }, (_, index) => getText(index));
          expect(expected.slice(0, listener.texts.length)).toEqual(listener.texts);
        },
      ),
      { seed: 20251, numRuns: 2000 },
    );
  });

  // Guards against identifying tokens by their text instead of their index: an uncounted token without
  // text (half a character) would make the next one look like a gap, and the request would be retried
  // at another replica, which sends the same tokens, so that the response never ends.
  it('counts a token without text', () => {
    const stream = getStream(0, 5);
    const { listener, reader } = read(stream, {});
    expect(listener.texts).toHaveLength(5);
    expect(reader.isComplete()).toBe(true);
  });
});
