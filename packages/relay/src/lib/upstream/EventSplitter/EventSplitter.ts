/** One event of a stream, with its bytes as received. */
export interface StreamEvent {
  bytes: Buffer;
  /** Undefined if the event has no id. */
  id: string | undefined;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const COLON = 0x3a;

/** Size of the storage of an event, relative to its size when it is allocated. */
const GROWTH = 2;

/** UTF-8 encoding of U+FEFF, which may precede the first line of a stream. */
const BYTE_ORDER_MARK = Buffer.from([0xef, 0xbb, 0xbf]);

function getEventId(text: string): string | undefined {
  return [...text.matchAll(/(?:^(?:\xef\xbb\xbf)?|[\r\n])id:[ ]?([^\r\n]*)/g)].at(-1)?.[1];
}

/**
 * Splits an event stream into complete events without changing any byte (WHATWG HTML, section 9.2.6). A
 * replica can fail within an event. Another replica can continue the stream only if the caller has received
 * complete events.
 */
export class EventSplitter {
  /** Bytes from the start of the current event. */
  private incomplete: Buffer = Buffer.alloc(0);

  /** Contains the bytes of the current event, with room for more; undefined if it came in one part. */
  private storage: Buffer | undefined;

  private scannedTo = 0;

  private lineStart = 0;

  /** Whether the current event has a line that is not empty. */
  private hasLine = false;

  /** Whether the current event has a line that is not a comment. */
  private hasField = false;

  private isAtStreamStart = true;

  /** Whether the last line of the current event ended with a carriage return and a line feed. */
  private endsLinesByPairs = false;

  /** @returns the events completed by these bytes */
  push(bytes: Buffer): StreamEvent[] {
    this.append(bytes);
    const events: StreamEvent[] = [];
    for (let next = this.findLineEnd(); next !== undefined; next = this.findLineEnd()) {
      const isEventEnd = next.end === this.lineStart && this.hasLine;
      this.finishLine(next);
      if (isEventEnd) {
        events.push(this.takeEvent());
      }
    }
    return events;
  }

  /** Copies each byte a bounded number of times on average, however small the parts of an event are. */
  private append(bytes: Buffer): void {
    const { incomplete } = this;
    if (incomplete.length === 0) {
      this.incomplete = bytes;
      this.storage = undefined;
      return;
    }
    const length = incomplete.length + bytes.length;
    const start = this.storage === undefined ? 0 : incomplete.byteOffset - this.storage.byteOffset;
    if (this.storage === undefined || start + length > this.storage.length) {
      this.storage = Buffer.allocUnsafeSlow(length * GROWTH);
      incomplete.copy(this.storage);
      bytes.copy(this.storage, incomplete.length);
      this.incomplete = this.storage.subarray(0, length);
      return;
    }
    // Events that were returned lie before this part of the storage.
    bytes.copy(this.storage, start + incomplete.length);
    this.incomplete = this.storage.subarray(start, start + length);
  }

  /** Bytes after the last complete event. */
  get incompleteBytes(): Buffer {
    return this.incomplete;
  }

  /** Whether a stream that ends here was broken off within an event; comments belong to no event. */
  get isInsideEvent(): boolean {
    const line = this.getContentStart();
    const first = this.incomplete[line];
    // A carriage return without its line feed ends the empty line, and so the event.
    if (first === CARRIAGE_RETURN) {
      return false;
    }
    return this.hasField || (first !== undefined && first !== COLON);
  }

  /** Returns where the content of the current line starts: after a byte order mark. */
  private getContentStart(): number {
    const { incomplete, lineStart, isAtStreamStart } = this;
    const hasMark =
      isAtStreamStart && incomplete.subarray(lineStart, lineStart + 3).equals(BYTE_ORDER_MARK);
    return hasMark ? lineStart + BYTE_ORDER_MARK.length : lineStart;
  }

  /** Returns the next end of a line: the end of its content, and the start of the next line. */
  private findLineEnd(): { end: number; next: number } | undefined {
    const { incomplete } = this;
    for (let at = this.scannedTo; at < incomplete.length; at += 1) {
      if (incomplete[at] === LINE_FEED) {
        return { end: at, next: at + 1 };
      }
      if (incomplete[at] === CARRIAGE_RETURN) {
        return this.getCarriageReturnEnd(at);
      }
    }
    this.scannedTo = incomplete.length;
    return undefined;
  }

  /** A line feed after a carriage return belongs to the same line, but may not have been received. */
  private getCarriageReturnEnd(at: number): { end: number; next: number } | undefined {
    const following = this.incomplete[at + 1];
    if (following === undefined && (this.endsLinesByPairs || at > this.lineStart)) {
      this.scannedTo = at;
      return undefined;
    }
    return { end: at, next: following === LINE_FEED ? at + 2 : at + 1 };
  }

  private finishLine({ end, next }: { end: number; next: number }): void {
    const start = this.getContentStart();
    this.hasLine ||= start < end;
    this.hasField ||= start < end && this.incomplete[start] !== COLON;
    this.endsLinesByPairs = next - end > 1;
    this.isAtStreamStart = false;
    this.lineStart = next;
    this.scannedTo = next;
  }

  private takeEvent(): StreamEvent {
    const bytes = this.incomplete.subarray(0, this.lineStart);
    this.incomplete = this.incomplete.subarray(this.lineStart);
    this.lineStart = 0;
    this.scannedTo = 0;
    this.hasLine = false;
    this.hasField = false;
    return { bytes, id: getEventId(bytes.toString('latin1')) };
  }
}
