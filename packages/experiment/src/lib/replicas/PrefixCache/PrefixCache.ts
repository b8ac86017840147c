/**
 * The prompt prefixes an engine keeps, least recently used first out.
 *
 * @example
 * ```ts
 * const cache = new PrefixCache(60_000);
 * const cachedTokens = cache.use(prefixHash, prefixTokens);
 * ```
 * @internal
 */
export class PrefixCache {
  /** Tokens by prefix, in order of last use: a map keeps the order of insertion. */
  private readonly entries = new Map<number, number>();

  private total = 0;

  /** @param capacity - how many tokens fit */
  constructor(private readonly capacity: number) {}

  /**
   * Looks a prefix up and keeps it from now on.
   *
   * @returns how many of its tokens need no computing
   */
  use(prefixHash: number, tokens: number): number {
    const cached = this.entries.get(prefixHash) ?? 0;
    this.entries.delete(prefixHash);
    this.entries.set(prefixHash, tokens);
    this.total += tokens - cached;
    this.evict();
    return Math.min(cached, tokens);
  }

  clear(): void {
    this.entries.clear();
    this.total = 0;
  }

  private evict(): void {
    for (const [prefixHash, tokens] of this.entries) {
      if (this.total <= this.capacity) {
        return;
      }
      this.entries.delete(prefixHash);
      this.total -= tokens;
    }
  }
}
