import type { ServerResponse } from 'node:http';

/**
 * Writes what arrives in one read of a socket to a response at once. Each write takes several entries in the queue
 * of the response, so that small events for a caller who does not read would take many times their size.
 *
 * @example
 * ```ts
 * const writes = new JoinedWrites(response);
 * if (!writes.add(bytes)) {
 *   response.once('drain', resume);
 * }
 * writes.flush(); // before the response ends
 * ```
 */
export class JoinedWrites {
  private readonly parts: Buffer[] = [];

  private size = 0;

  constructor(private readonly response: ServerResponse) {}

  /** Bytes that the other side has not received. */
  get queuedBytes(): number {
    return this.size + this.response.writableLength;
  }

  /** @returns whether the other side keeps up; if not, the response emits 'drain' later */
  add(bytes: Buffer): boolean {
    if (this.parts.length === 0) {
      queueMicrotask(() => this.flush());
    }
    this.parts.push(bytes);
    this.size += bytes.length;
    const { writableHighWaterMark, writableNeedDrain } = this.response;
    return !writableNeedDrain && this.size < writableHighWaterMark;
  }

  /** Writes what was added; does nothing if the response is closed. */
  flush(): void {
    const bytes = Buffer.concat(this.parts.splice(0));
    this.size = 0;
    if (bytes.length > 0 && !this.response.destroyed) {
      this.response.write(bytes);
    }
  }
}
