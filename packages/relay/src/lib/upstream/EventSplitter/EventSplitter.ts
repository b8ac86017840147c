/** One event of a stream, as it came. */
export interface StreamEvent {
  bytes: Buffer;
  /** Absent where the event names none. */
  id: string | undefined;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

function getId(text: string): string | undefined {
  return /(?:^|\n)id:[ ]?([^\r\n]*)/.exec(text)?.[1];
}

/**
 * Cuts the bytes of an event stream into whole events, without changing a byte. A replica may stop
 * in the middle of an event: what a caller has been given must end with a whole one, or the stream
 * could not go on from another replica.
 */
export class EventSplitter {
  private rest: Buffer = Buffer.alloc(0);

  /** @returns the events that are whole now */
  push(bytes: Buffer): StreamEvent[] {
    const data = this.rest.length === 0 ? bytes : Buffer.concat([this.rest, bytes]);
    const events: StreamEvent[] = [];
    let start = 0;
    for (let end = EventSplitter.findEnd(data, 0); end !== -1;) {
      const event = data.subarray(start, end);
      events.push({ bytes: event, id: getId(event.toString('latin1')) });
      start = end;
      end = EventSplitter.findEnd(data, start);
    }
    this.rest = data.subarray(start);
    return events;
  }

  /** Bytes of an event that has not ended. */
  get unfinished(): Buffer {
    return this.rest;
  }

  /** The index after the empty line that ends the first event from `start` on, or -1. */
  private static findEnd(data: Buffer, start: number): number {
    for (let at = data.indexOf(LINE_FEED, start); at !== -1; at = data.indexOf(LINE_FEED, at + 1)) {
      if (data[at + 1] === LINE_FEED) {
        return at + 2;
      }
      if (data[at + 1] === CARRIAGE_RETURN && data[at + 2] === LINE_FEED) {
        return at + 3;
      }
    }
    return -1;
  }
}
