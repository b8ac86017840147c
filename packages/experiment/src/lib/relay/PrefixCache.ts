import type { Milliseconds } from '@apricotrill/utils';
import type { CacheChange, Prompt } from '@apricotrill/relay';

interface KeptPart {
  tokens: number;
  usedAt: Milliseconds;
  /** Has been read, and can be used by others. */
  isRead: boolean;
  holders: Set<string>;
}

/** What a model engine keeps of prompts, the least recently used given up first. */
export class PrefixCache {
  private readonly parts = new Map<string, KeptPart>();

  private held = 0;

  private kept = 0;

  constructor(private readonly onChange: (change: CacheChange) => void) {}

  /** Tokens of the prompt's head that need not be read. */
  getKept(prompt: Prompt): number {
    let sum = 0;
    for (const { id, tokens } of prompt.parts) {
      if (this.parts.get(id)?.isRead !== true) {
        break;
      }
      sum += tokens;
    }
    return sum;
  }

  /** Tokens of parts that running requests need. */
  get heldTokens(): number {
    return this.held;
  }

  /** A request runs: its parts can't be given up. */
  hold(prompt: Prompt, holder: string): void {
    prompt.parts.forEach(({ id, tokens }) => {
      const part = this.get(id, tokens);
      if (part.holders.size === 0) {
        this.held += part.tokens;
      }
      part.holders.add(holder);
    });
  }

  release(prompt: Prompt, holder: string): void {
    prompt.parts.forEach(({ id }) => {
      const part = this.parts.get(id);
      if (part?.holders.delete(holder) === true && part.holders.size === 0) {
        this.held -= part.tokens;
        if (!part.isRead) {
          this.drop(id, part);
        }
      }
    });
  }

  noteRead(prompt: Prompt, now: Milliseconds): void {
    prompt.parts.forEach(({ id, tokens }) => {
      const part = this.get(id, tokens);
      part.usedAt = now;
      if (!part.isRead) {
        part.isRead = true;
        this.onChange({ kind: 'added', part: id, tokens, model: prompt.model });
      }
    });
  }

  /** Takes over what another engine keeps of the prompt's head. */
  copy(prompt: Prompt, source: PrefixCache, now: Milliseconds): void {
    const known = prompt.parts.filter(({ id }) => source.parts.get(id)?.isRead === true);
    this.noteRead({ ...prompt, parts: known }, now);
  }

  /** Gives up what nobody needs until it is this small. */
  shrink(tokens: number): void {
    const free = this.kept - this.held;
    if (free <= tokens) {
      return;
    }
    const idle = [...this.parts].filter(([, { holders }]) => holders.size === 0);
    idle.sort(([, one], [, other]) => one.usedAt - other.usedAt);
    for (const [id, part] of idle) {
      if (this.kept - this.held <= tokens) {
        return;
      }
      this.drop(id, part);
    }
  }

  clear(): void {
    this.parts.clear();
    this.held = 0;
    this.kept = 0;
  }

  private get(id: string, tokens: number): KeptPart {
    const known = this.parts.get(id);
    if (known !== undefined) {
      return known;
    }
    const part = { tokens, usedAt: 0, isRead: false, holders: new Set<string>() };
    this.parts.set(id, part);
    this.kept += tokens;
    return part;
  }

  private drop(id: string, part: KeptPart): void {
    this.parts.delete(id);
    this.kept -= part.tokens;
    if (part.isRead) {
      this.onChange({ kind: 'removed', part: id, tokens: 0, model: 'm' });
    }
  }
}
