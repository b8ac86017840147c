import type { Clock, Milliseconds } from '@apricotrill/utils';
import { memoryOptions } from '../memoryOptions.js';

/** How much memory the process uses, and how much it may. */
export interface MemoryUse {
  /** Resident memory in bytes, as the operating system counts it. */
  rss: number;
  /** Beyond it the process is killed. */
  limit: number;
}

/** Called when the process comes near its limit, and when it no longer is. */
export type MemoryListener = (isNear: boolean, use: MemoryUse) => void;

/** Dependencies of {@link ProcessMemory}. */
export interface ProcessMemoryParts {
  clock: Clock;
  limit: number;
  /** Reads the resident memory in bytes; 0 if it is not known. */
  readRss: () => number;
}

/**
 * Watches the memory of the process itself, which can exceed what is counted: counts are estimates, and
 * garbage counts as well. Reads it only now and then, and only when it is asked.
 *
 * @example
 * ```ts
 * const memory = new ProcessMemory({ clock, limit, readRss: () => process.memoryUsage.rss() });
 * if (memory.rss > limit / 2) { ... }
 * ```
 */
export class ProcessMemory {
  private lastRss = 0;

  private readAt: Milliseconds | undefined;

  private isNear = false;

  private readonly listeners: MemoryListener[] = [];

  constructor(private readonly parts: ProcessMemoryParts) {}

  get limit(): number {
    return this.parts.limit;
  }

  /** Resident memory in bytes, at most {@link memoryOptions.readInterval} old. */
  get rss(): number {
    const now = this.parts.clock.now();
    if (this.readAt === undefined || now - this.readAt >= memoryOptions.readInterval) {
      this.readAt = now;
      this.lastRss = this.parts.readRss();
      this.review();
    }
    return this.lastRss;
  }

  /** Calls back when the process comes near its limit, and when it no longer is. */
  onChanged(listener: MemoryListener): void {
    this.listeners.push(listener);
  }

  private review(): void {
    const { limit } = this.parts;
    const { nearShare, reopenShare } = memoryOptions;
    const isNear = this.lastRss > limit * nearShare * (this.isNear ? reopenShare : 1);
    if (isNear !== this.isNear) {
      this.isNear = isNear;
      this.listeners.forEach((listener) => listener(isNear, { rss: this.lastRss, limit }));
    }
  }
}
