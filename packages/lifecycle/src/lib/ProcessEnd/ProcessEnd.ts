import type { Milliseconds } from '@apricotrill/utils';
import type { EndReason } from '../EndReason.js';
import { getExitCode } from '../getExitCode.js';
import type { LifecycleEvent } from '../LifecycleEvent.js';

/**
 * Dependencies of {@link ProcessEnd}.
 *
 * @public
 */
export interface ProcessEndParts {
  /** Accepts no further lines, and resolves when those logged so far are written. Must resolve within a bounded time. */
  flush: () => Promise<void>;
  /** Writes the last line synchronously. */
  writeLast: (event: LifecycleEvent) => void;
  getOpenRequests: () => number;
  getUptime: () => Milliseconds;
  getMemory: () => { rss: number; heapUsed: number };
  exit: (code: number) => void;
}

/**
 * Ends the process, with a last line in the log that states why. The first reason counts.
 *
 * @example
 * ```ts
 * const end = new ProcessEnd(parts);
 * process.on('exit', (code) => end.handleExit(code));
 * await end.end({ reason: 'stopped', signal: 'SIGTERM' });
 * ```
 * @public
 */
export class ProcessEnd {
  private reason: EndReason | undefined;

  private isWritten = false;

  constructor(private readonly parts: ProcessEndParts) {}

  /** Whether the process is about to exit. */
  get hasReason(): boolean {
    return this.reason !== undefined;
  }

  /** Writes the lines logged so far and the last one, and exits. */
  async end(reason: EndReason): Promise<void> {
    if (this.reason !== undefined) {
      return;
    }
    this.reason = reason;
    await this.parts.flush().catch(() => undefined);
    this.write(reason);
    this.parts.exit(getExitCode(reason));
  }

  /** Writes the last line of a process that exits for a reason that was not stated before. */
  handleExit(code: number): void {
    this.write(this.reason ?? { reason: 'unexpected', code });
  }

  private write(end: EndReason): void {
    if (this.isWritten) {
      return;
    }
    this.isWritten = true;
    const { writeLast, getOpenRequests, getUptime, getMemory } = this.parts;
    const { rss, heapUsed } = getMemory();
    writeLast({
      event: 'ended',
      ...end,
      code: getExitCode(end),
      uptime: getUptime(),
      rss,
      heap: heapUsed,
      open: getOpenRequests(),
    });
  }
}
