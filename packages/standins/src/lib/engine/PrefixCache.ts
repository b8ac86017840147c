/**
 * A block was stored in the prefix cache or evicted from it.
 *
 * @public
 */
export interface CacheChange {
  kind: 'stored' | 'evicted';
  block: number;
}

/**
 * A prefix cache of limited size. A prompt is a chain of blocks, each identified by a hash of
 * itself and all blocks before it, so that two prompts share exactly the blocks of their common
 * prefix. The least recently used block is evicted first, and the tail of a prompt before its head.
 *
 * @example
 * ```ts
 * const cache = new PrefixCache(4_096);
 * cache.store([1, 2, 3]);
 * cache.match([1, 2, 9]); // 2 blocks
 * ```
 * @public
 */
export class PrefixCache {
  /** Ordered by last use, the least recent first. */
  private readonly blocks = new Set<number>();

  /**
   * @param capacity - how many blocks fit
   * @param onChange - called for each block stored or evicted
   */
  constructor(
    private readonly capacity: number,
    private readonly onChange: (change: CacheChange) => void = () => {},
  ) {}

  /** Returns how many blocks at the head of the chain are cached, and marks them as used. */
  match(chain: readonly number[]): number {
    let count = 0;
    while (count < chain.length && this.blocks.has(chain[count]!)) {
      count += 1;
    }
    this.touch(chain.slice(0, count));
    return count;
  }

  /** Stores a chain, evicting the least recently used blocks. */
  store(chain: readonly number[]): void {
    const kept = chain.slice(0, this.capacity);
    const added = kept.filter((block) => !this.blocks.has(block));
    this.touch(kept);
    added.forEach((block) => this.onChange({ kind: 'stored', block }));
    this.evict();
  }

  getSize(): number {
    return this.blocks.size;
  }

  private touch(chain: readonly number[]): void {
    // From tail to head, so that the head becomes the most recently used.
    for (let index = chain.length - 1; index >= 0; index -= 1) {
      this.blocks.delete(chain[index]!);
      this.blocks.add(chain[index]!);
    }
  }

  private evict(): void {
    const oldest = this.blocks.values();
    while (this.blocks.size > this.capacity) {
      const block = oldest.next().value!;
      this.blocks.delete(block);
      this.onChange({ kind: 'evicted', block });
    }
  }
}
