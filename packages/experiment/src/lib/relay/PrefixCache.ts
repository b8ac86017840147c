import type { Milliseconds } from '@apricotrill/utils';
import type { CacheChange, Prompt } from '@apricotrill/relay';

interface CachedPart {
  tokens: number;
  usedAt: Milliseconds;
  /** Prefill has finished, so other requests can use the part. */
  isComputed: boolean;
  /** Keys of the running requests that use the part. */
  pinnedBy: Set<string>;
}

/** The prompt parts that a simulated engine has cached, with least-recently-used eviction. */
export class PrefixCache {
  private readonly parts = new Map<string, CachedPart>();

  private pinned = 0;

  private total = 0;

  constructor(private readonly onChange: (change: CacheChange) => void) {}

  /** The number of tokens at the start of the prompt that need no prefill. */
  getCachedTokens(prompt: Prompt): number {
    let sum = 0;
    for (const { id, tokens } of prompt.parts) {
      if (this.parts.get(id)?.isComputed !== true) {
        break;
      }
      sum += tokens;
    }
    return sum;
  }

  /** Tokens of the parts that running requests use. */
  get pinnedTokens(): number {
    return this.pinned;
  }

  /** Protects the parts of a running request from eviction. */
  pin(prompt: Prompt, requestKey: string): void {
    prompt.parts.forEach(({ id, tokens }) => {
      const part = this.getOrCreate(id, tokens);
      if (part.pinnedBy.size === 0) {
        this.pinned += part.tokens;
      }
      part.pinnedBy.add(requestKey);
    });
  }

  /** Ends the request's pin; a part that nobody has computed by then is dropped. */
  unpin(prompt: Prompt, requestKey: string): void {
    prompt.parts.forEach(({ id }) => {
      const part = this.parts.get(id);
      if (part?.pinnedBy.delete(requestKey) === true && part.pinnedBy.size === 0) {
        this.pinned -= part.tokens;
        if (!part.isComputed) {
          this.evict(id, part);
        }
      }
    });
  }

  /** Records that all parts of the prompt have been computed. */
  recordComputed(prompt: Prompt, now: Milliseconds): void {
    prompt.parts.forEach(({ id, tokens }) => {
      const part = this.getOrCreate(id, tokens);
      part.usedAt = now;
      if (!part.isComputed) {
        part.isComputed = true;
        this.onChange({ kind: 'added', part: id, tokens, model: prompt.model });
      }
    });
  }

  /** Copies the prompt's parts that another engine has cached. */
  copyFrom(prompt: Prompt, source: PrefixCache, now: Milliseconds): void {
    const known = prompt.parts.filter(({ id }) => source.parts.get(id)?.isComputed === true);
    this.recordComputed({ ...prompt, parts: known }, now);
  }

  /** Evicts unpinned parts, least recently used first, until at most this many tokens are unpinned. */
  evictUnpinned(maxTokens: number): void {
    const unpinned = this.total - this.pinned;
    if (unpinned <= maxTokens) {
      return;
    }
    const candidates = [...this.parts].filter(([, { pinnedBy }]) => pinnedBy.size === 0);
    candidates.sort(([, one], [, other]) => one.usedAt - other.usedAt);
    for (const [id, part] of candidates) {
      if (this.total - this.pinned <= maxTokens) {
        return;
      }
      this.evict(id, part);
    }
  }

  clear(): void {
    this.parts.clear();
    this.pinned = 0;
    this.total = 0;
  }

  private getOrCreate(id: string, tokens: number): CachedPart {
    const known = this.parts.get(id);
    if (known !== undefined) {
      return known;
    }
    const part = { tokens, usedAt: 0, isComputed: false, pinnedBy: new Set<string>() };
    this.parts.set(id, part);
    this.total += tokens;
    return part;
  }

  private evict(id: string, part: CachedPart): void {
    this.parts.delete(id);
    this.total -= part.tokens;
    if (part.isComputed) {
      this.onChange({ kind: 'removed', part: id, tokens: 0, model: 'm' });
    }
  }
}
