import type { Clock, Milliseconds, Timer } from '@apricotrill/utils';

/**
 * The clock of one process that can be paused. When the process resumes, timers that became due
 * meanwhile run first and messages that arrived are read afterwards, as in the Node.js event loop.
 */
export class FreezableClock implements Clock {
  private overdueTimers: (() => void)[] | undefined;

  private pendingArrivals: (() => void)[] = [];

  /** @param offset - the clock skew of this process */
  constructor(
    private readonly clock: Clock,
    private readonly offset: Milliseconds = 0,
  ) {}

  get isFrozen(): boolean {
    return this.overdueTimers !== undefined;
  }

  now(): Milliseconds {
    return this.clock.now() + this.offset;
  }

  setTimer(delay: Milliseconds, callback: () => void): Timer {
    let isCancelled = false;
    const run = () => {
      if (isCancelled) {
        return;
      }
      if (this.overdueTimers === undefined) {
        callback();
      } else {
        this.overdueTimers.push(run);
      }
    };
    const timer = this.clock.setTimer(delay, run);
    return {
      cancel: () => {
        isCancelled = true;
        timer.cancel();
      },
    };
  }

  freeze(): void {
    this.overdueTimers ??= [];
  }

  thaw(): void {
    const due = [...(this.overdueTimers ?? []), ...this.pendingArrivals];
    this.overdueTimers = undefined;
    this.pendingArrivals = [];
    due.forEach((run) => run());
  }

  /** Handles a message's arrival from the network, or queues it while frozen. */
  deliver(onArrival: () => void): void {
    if (this.isFrozen) {
      this.pendingArrivals.push(onArrival);
    } else {
      onArrival();
    }
  }
}
