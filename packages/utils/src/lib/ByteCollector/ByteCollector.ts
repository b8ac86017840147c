/** Least size of the storage for bytes whose number is not known before. */
const MIN_BLOCK_BYTES = 1_024;

/** Largest size of that storage, unless a part is larger. */
const MAX_BLOCK_BYTES = 65_536;

/**
 * Joins parts that arrive one after the other. Copies them, since a part takes some hundred bytes besides its
 * content, and may keep the whole buffer that it was read to: a body in parts of one byte would take hundreds
 * of times its size.
 *
 * @example
 * ```ts
 * const collector = new ByteCollector(Number(request.headers['content-length'] ?? 0));
 * request.on('data', (part) => collector.append(part));
 * request.once('end', () => handleBody(collector.take()));
 * ```
 * @public
 */
export class ByteCollector {
  private readonly full: Buffer[] = [];

  private block: Buffer | undefined;

  /** Bytes of the current block that are in use. */
  private used = 0;

  private size = 0;

  /** @param expectedBytes - number of bytes that was announced; 0 if none was */
  constructor(private readonly expectedBytes = 0) {}

  /** Number of bytes that were appended. */
  get length(): number {
    return this.size;
  }

  append(part: Uint8Array): void {
    let rest = part;
    while (rest.length > 0) {
      const block = this.getBlock(rest.length);
      const taken = rest.subarray(0, block.length - this.used);
      block.set(taken, this.used);
      this.used += taken.length;
      this.size += taken.length;
      rest = rest.subarray(taken.length);
    }
  }

  /** Returns all bytes, and forgets them. */
  take(): Buffer {
    const last = this.block?.subarray(0, this.used) ?? Buffer.alloc(0);
    const bytes = this.full.length === 0 ? last : Buffer.concat([...this.full, last]);
    this.discard();
    return bytes;
  }

  /** Forgets all bytes. */
  discard(): void {
    this.full.length = 0;
    this.block = undefined;
    this.used = 0;
    this.size = 0;
  }

  /** Returns a block with room for at least a byte of those that follow. */
  private getBlock(following: number): Buffer {
    if (this.block !== undefined && this.used < this.block.length) {
      return this.block;
    }
    if (this.block !== undefined) {
      this.full.push(this.block);
    }
    this.block = Buffer.allocUnsafe(this.getBlockSize(following));
    this.used = 0;
    return this.block;
  }

  private getBlockSize(following: number): number {
    if (this.block === undefined && this.expectedBytes > 0) {
      return this.expectedBytes;
    }
    // As much again as there is, so that no more than half of it is empty.
    const growth = Math.min(Math.max(this.size, MIN_BLOCK_BYTES), MAX_BLOCK_BYTES);
    return Math.max(following, growth);
  }
}
