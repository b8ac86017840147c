import { waitForSocketEvents } from '@apricotrill/callers';
import type { Milliseconds } from '@apricotrill/utils';

/** Limit for calls that make progress, such as a large response over a slow link. */
const MAX_CALL_DURATION: Milliseconds = 10_000;

/** Aborts a call if no data is received within the timeout. */
export class Watchdog {
  private readonly controller = new AbortController();

  private timer: NodeJS.Timeout;

  private readonly startedAt = performance.now();

  private lastProgressAt = this.startedAt;

  private isStopped = false;

  constructor(private readonly timeout: Milliseconds) {
    this.timer = this.startTimer(timeout);
  }

  get signal(): AbortSignal {
    return this.controller.signal;
  }

  recordProgress(): void {
    this.lastProgressAt = performance.now();
  }

  stop(): void {
    this.isStopped = true;
    clearTimeout(this.timer);
  }

  private startTimer(delay: Milliseconds): NodeJS.Timeout {
    return setTimeout(() => {
      this.check().catch((error: unknown) => this.controller.abort(error));
    }, delay);
  }

  private async check(): Promise<void> {
    // Timers run before sockets are read, so that data may be pending if the event loop was blocked.
    await waitForSocketEvents();
    const now = performance.now();
    const remaining =
      Math.min(this.lastProgressAt + this.timeout, this.startedAt + MAX_CALL_DURATION) - now;
    if (this.isStopped) {
      return;
    }
    if (remaining > 0) {
      this.timer = this.startTimer(remaining);
    } else {
      this.controller.abort(
        new Error(`no data received for ${Math.round(now - this.lastProgressAt)} ms`),
      );
    }
  }
}
