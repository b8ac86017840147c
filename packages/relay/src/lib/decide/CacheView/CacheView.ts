import type { Milliseconds } from '@apricotrill/utils';
import type { CacheChange, Prompt } from '../messages.js';

/** Engines cache whole blocks; the end of a part that does not fill a block is prefilled again. */
const BLOCK_TOKENS = 16;

/** How long a prompt that was sent counts as cached without confirmation by the engine. */
const EXPECTED_LIFETIME: Milliseconds = 3_000;

/** Number of expected parts above which expired ones are evicted. */
const MAX_EXPECTED_PARTS = 2_000;

function getKey(model: string, part: string): string {
  return `${model} ${part}`;
}

/** A part that the engine is expected to cache once it has prefilled it. */
interface ExpectedPart {
  tokens: number;
  expiresAt: Milliseconds;
  isPrefilled: boolean;
}

/**
 * The prompt parts that one engine has cached, as known to this daemon: from the engine's events,
 * which arrive late, and from the requests sent to the engine since. Without the latter, a burst of
 * requests of one session would find an empty cache and spread over all engines, each of which
 * would prefill the whole prompt.
 */
export class CacheView {
  /** Tokens of each part that the engine has reported. */
  private readonly reported = new Map<string, number>();

  private readonly expected = new Map<string, ExpectedPart>();

  private isReported = false;

  /** Whether the engine has reported its cache. */
  get isKnown(): boolean {
    return this.isReported;
  }

  /** Records that a request with this prompt was sent to the engine. */
  addExpected(prompt: Prompt, now: Milliseconds): void {
    if (this.expected.size > MAX_EXPECTED_PARTS) {
      this.evictExpired(now);
    }
    prompt.parts.forEach(({ id, tokens }) => {
      const key = getKey(prompt.model, id);
      const isPrefilled = this.expected.get(key)?.isPrefilled ?? false;
      this.expected.set(key, { tokens, expiresAt: now + EXPECTED_LIFETIME, isPrefilled });
    });
  }

  /** Records that the engine has prefilled a prompt that was sent to it. */
  recordPrefill(prompt: Prompt, now: Milliseconds): void {
    prompt.parts.forEach(({ id, tokens }) => {
      const key = getKey(prompt.model, id);
      this.expected.set(key, { tokens, expiresAt: now + EXPECTED_LIFETIME, isPrefilled: true });
    });
  }

  apply(changes: readonly CacheChange[]): void {
    this.isReported = true;
    changes.forEach(({ kind, model, part, tokens }) => {
      const key = getKey(model, part);
      switch (kind) {
        case 'added':
          this.reported.set(key, tokens);
          break;
        case 'removed':
          this.remove(key, tokens);
          break;
        default:
          kind satisfies never;
      }
    });
  }

  /** Replaces the reported parts by a full list from the engine. */
  replace(changes: readonly CacheChange[]): void {
    this.reported.clear();
    this.apply(changes);
  }

  /**
   * Forgets everything after the engine restarted, or after events were lost and not listed again.
   */
  clear(): void {
    this.isReported = false;
    this.reported.clear();
    this.expected.clear();
  }

  /**
   * Length of the cached prefix of a prompt, including parts that are sent and not prefilled yet.
   */
  getCached(prompt: Prompt, now: Milliseconds): number {
    return this.getPrefixTokens(prompt, (key) => this.getCachedTokens(key, now));
  }

  /** Length of the prefix of a prompt that another engine can copy from this one now. */
  getCopyable(prompt: Prompt, now: Milliseconds): number {
    return this.getPrefixTokens(prompt, (key) => this.getCopyableTokens(key, now));
  }

  get size(): number {
    return this.reported.size;
  }

  // eslint-disable-next-line class-methods-use-this
  private getPrefixTokens(
    { model, parts, inputTokens }: Prompt,
    get: (key: string) => number,
  ): number {
    let cached = 0;
    for (const { id, tokens } of parts) {
      const cachedTokens = Math.min(tokens, get(getKey(model, id)));
      cached += cachedTokens;
      if (cachedTokens < tokens - BLOCK_TOKENS) {
        break;
      }
    }
    return Math.min(cached, inputTokens);
  }

  private getCopyableTokens(key: string, now: Milliseconds): number {
    const expected = this.expected.get(key);
    const isCopyable = expected !== undefined && expected.isPrefilled && expected.expiresAt > now;
    return Math.max(this.reported.get(key) ?? 0, isCopyable ? expected.tokens : 0);
  }

  private getCachedTokens(key: string, now: Milliseconds): number {
    const reported = this.reported.get(key) ?? 0;
    const expected = this.expected.get(key);
    return expected !== undefined && expected.expiresAt > now
      ? Math.max(reported, expected.tokens)
      : reported;
  }

  private remove(key: string, tokensLeft: number): void {
    this.expected.delete(key);
    if (tokensLeft > 0) {
      this.reported.set(key, tokensLeft);
    } else {
      this.reported.delete(key);
    }
  }

  private evictExpired(now: Milliseconds): void {
    this.expected.forEach(({ expiresAt }, key) => {
      if (expiresAt <= now) {
        this.expected.delete(key);
      }
    });
  }
}
