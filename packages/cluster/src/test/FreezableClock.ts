import type { Clock, Milliseconds, Timer } from '@apricotrill/utils';

/**
 * The clock of one process that can be stopped. When it goes on, the timers that fell due meanwhile
 * run first and what came over the network is read after, as in the event loop of Node.js.
 */
export class FreezableClock implements Clock {
  private overdue: (() => void)[] | undefined;

  private inbox: (() => void)[] = [];

  /** @param offset - how far this process's clock is off */
  constructor(
    private readonly clock: Clock,
    private readonly offset: Milliseconds = 0,
  ) {}

  get isFrozen(): boolean {
    return this.overdue !== undefined;
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
      if (this.overdue === undefined) {
        callback();
      } else {
        this.overdue.push(run);
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
    this.overdue ??= [];
  }

  thaw(): void {
    const due = [...(this.overdue ?? []), ...this.inbox];
    this.overdue = undefined;
    this.inbox = [];
    due.forEach((run) => run());
  }

  /** Hands in what came over the network. */
  deliver(arrival: () => void): void {
    if (this.isFrozen) {
      this.inbox.push(arrival);
    } else {
      arrival();
    }
  }
}
