import type { Milliseconds } from '@apricotrill/utils';
import type { CacheChange, Prompt } from '../messages.js';

/** Engines keep whole blocks: the end of a part that doesn't fill one is read again. */
const BLOCK_TOKENS = 16;

/** How long a prompt that was sent is taken for cached without word of the engine. */
const EXPECTED_SPAN: Milliseconds = 3_000;

/** Parts believed on the strength of our own sends are swept when there are this many. */
const SWEEP_SIZE = 2_000;

function getKey(model: string, part: string): string {
  return `${model} ${part}`;
}

/** A part that the engine will keep once it has read it. */
interface ExpectedPart {
  tokens: number;
  until: Milliseconds;
  isRead: boolean;
}

/**
 * What one engine keeps of prompts, as far as this daemon knows: from the engine's events, which
 * come late, and from what this daemon sent since. Without the second, a burst of requests of one
 * session would see an empty cache and spread over all engines, each of which reads the whole
 * prompt.
 */
export class CacheView {
  private readonly held = new Map<string, number>();

  private readonly expected = new Map<string, ExpectedPart>();

  private isTold = false;

  /** Whether the engine has said what it keeps. */
  get isKnown(): boolean {
    return this.isTold;
  }

  /** A request with this prompt was sent to the engine. */
  addExpected(prompt: Prompt, now: Milliseconds): void {
    if (this.expected.size > SWEEP_SIZE) {
      this.sweep(now);
    }
    prompt.parts.forEach(({ id, tokens }) => {
      const key = getKey(prompt.model, id);
      const isRead = this.expected.get(key)?.isRead ?? false;
      this.expected.set(key, { tokens, until: now + EXPECTED_SPAN, isRead });
    });
  }

  /** The engine has read a prompt that was sent to it. */
  noteRead(prompt: Prompt, now: Milliseconds): void {
    prompt.parts.forEach(({ id, tokens }) => {
      const key = getKey(prompt.model, id);
      this.expected.set(key, { tokens, until: now + EXPECTED_SPAN, isRead: true });
    });
  }

  apply(changes: readonly CacheChange[]): void {
    this.isTold = true;
    changes.forEach(({ kind, model, part, tokens }) => {
      const key = getKey(model, part);
      switch (kind) {
        case 'added':
          this.held.set(key, tokens);
          break;
        case 'removed':
          this.remove(key, tokens);
          break;
        default:
          kind satisfies never;
      }
    });
  }

  /** Takes the engine's whole list in place of what was believed. */
  replace(changes: readonly CacheChange[]): void {
    this.held.clear();
    this.apply(changes);
  }

  /** The engine started again, or its events have a gap that no list fills. */
  clear(): void {
    this.isTold = false;
    this.held.clear();
    this.expected.clear();
  }

  /** Tokens of the prompt's head that the engine keeps, or will once it has read what was sent. */
  getCached(prompt: Prompt, now: Milliseconds): number {
    return this.getHead(prompt, (key) => this.getKept(key, now));
  }

  /** Tokens of the prompt's head that another engine could copy from this one now. */
  getCopyable(prompt: Prompt, now: Milliseconds): number {
    return this.getHead(prompt, (key) => this.getRead(key, now));
  }

  get size(): number {
    return this.held.size;
  }

  // eslint-disable-next-line class-methods-use-this
  private getHead({ model, parts, inputTokens }: Prompt, get: (key: string) => number): number {
    let cached = 0;
    for (const { id, tokens } of parts) {
      const kept = Math.min(tokens, get(getKey(model, id)));
      cached += kept;
      if (kept < tokens - BLOCK_TOKENS) {
        break;
      }
    }
    return Math.min(cached, inputTokens);
  }

  private getRead(key: string, now: Milliseconds): number {
    const expected = this.expected.get(key);
    const isRead = expected !== undefined && expected.isRead && expected.until > now;
    return Math.max(this.held.get(key) ?? 0, isRead ? expected.tokens : 0);
  }

  private getKept(key: string, now: Milliseconds): number {
    const held = this.held.get(key) ?? 0;
    const expected = this.expected.get(key);
    return expected !== undefined && expected.until > now ? Math.max(held, expected.tokens) : held;
  }

  private remove(key: string, tokensLeft: number): void {
    this.expected.delete(key);
    if (tokensLeft > 0) {
      this.held.set(key, tokensLeft);
    } else {
      this.held.delete(key);
    }
  }

  private sweep(now: Milliseconds): void {
    this.expected.forEach(({ until }, key) => {
      if (until <= now) {
        this.expected.delete(key);
      }
    });
  }
}
