import { waitForSocketEvents } from '@apricotrill/callers';
import type { Milliseconds } from '@apricotrill/utils';

/** A call that makes progress may take so long: a large answer on a slow link. */
const LONGEST_CALL: Milliseconds = 10_000;

/** Aborts a call when nothing has come for too long. */
export class Watchdog {
  private readonly controller = new AbortController();

  private timer: NodeJS.Timeout;

  private readonly startedAt = performance.now();

  private heardAt = this.startedAt;

  private isOver = false;

  constructor(private readonly timeout: Milliseconds) {
    this.timer = this.wait(timeout);
  }

  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** Bytes came. */
  noteProgress(): void {
    this.heardAt = performance.now();
  }

  end(): void {
    this.isOver = true;
    clearTimeout(this.timer);
  }

  private wait(span: Milliseconds): NodeJS.Timeout {
    return setTimeout(() => {
      this.check().catch((error: unknown) => this.controller.abort(error));
    }, span);
  }

  private async check(): Promise<void> {
    // Timers run before sockets are read: after a busy second the answer may be there already.
    await waitForSocketEvents();
    const now = performance.now();
    const left = Math.min(this.heardAt + this.timeout, this.startedAt + LONGEST_CALL) - now;
    if (this.isOver) {
      return;
    }
    if (left > 0) {
      this.timer = this.wait(left);
    } else {
      this.controller.abort(new Error(`nothing came for ${Math.round(now - this.heardAt)} ms`));
    }
  }
}
