import type { Clock, Milliseconds } from '@apricotrill/utils';
import { quarantineOptions } from '../quarantineOptions.js';

/** Remembers which content replicas have served recently, which rules it out as the cause of a crash. */
export class ServedContent {
  /** When each fingerprint was last served, in ascending order of time. */
  private readonly servedAt = new Map<string, Milliseconds>();

  constructor(private readonly clock: Clock) {}

  get size(): number {
    return this.servedAt.size;
  }

  add(fingerprint: string): void {
    this.servedAt.delete(fingerprint);
    this.servedAt.set(fingerprint, this.clock.now());
    this.expire();
  }

  has(fingerprint: string): boolean {
    const at = this.servedAt.get(fingerprint);
    return at !== undefined && at > this.clock.now() - quarantineOptions.servedRetention;
  }

  private expire(): void {
    const oldest = this.clock.now() - quarantineOptions.servedRetention;
    for (const [fingerprint, at] of this.servedAt) {
      if (at >= oldest && this.servedAt.size <= quarantineOptions.maxServed) {
        return;
      }
      this.servedAt.delete(fingerprint);
    }
  }
}
