/** One event of a stream, with its bytes as received. */
export interface StreamEvent {
  bytes: Buffer;
  /** Undefined if the event has no id. */
  id: string | undefined;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

function getEventId(text: string): string | undefined {
  return /(?:^|\n)id:[ ]?([^\r\n]*)/.exec(text)?.[1];
}

/**
 * Splits an event stream into complete events without changing any byte. A replica can fail within an
 * event. Another replica can continue the stream only if the caller has received complete events.
 */
export class EventSplitter {
  private incomplete: Buffer = Buffer.alloc(0);

  /** @returns the events completed by these bytes */
  push(bytes: Buffer): StreamEvent[] {
    const data = this.incomplete.length === 0 ? bytes : Buffer.concat([this.incomplete, bytes]);
    const events: StreamEvent[] = [];
    let start = 0;
    for (let end = EventSplitter.findEnd(data, 0); end !== -1;) {
      const event = data.subarray(start, end);
      events.push({ bytes: event, id: getEventId(event.toString('latin1')) });
      start = end;
      end = EventSplitter.findEnd(data, start);
    }
    this.incomplete = data.subarray(start);
    return events;
  }

  /** Bytes of an event that is not yet complete. */
  get incompleteBytes(): Buffer {
    return this.incomplete;
  }

  /** Returns the index after the empty line that ends the event at `start`, or -1. */
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
