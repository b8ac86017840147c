import type { Clock, ManualClock, Milliseconds, Timer } from '@apricotrill/utils';

/** The clock of a process that can be frozen: its timers and answers wait until it wakes. */
export class PausableClock implements Clock {
  private waiting: (() => void)[] | undefined;

  constructor(private readonly base: ManualClock) {}

  now(): Milliseconds {
    return this.base.now();
  }

  setTimer(delay: Milliseconds, callback: () => void): Timer {
    let isCancelled = false;
    const timer = this.base.setTimer(delay, () => this.run(() => !isCancelled && callback()));
    return {
      cancel: () => {
        isCancelled = true;
        timer.cancel();
      },
    };
  }

  /** Runs a task of the process, once it is awake. */
  run(task: () => void): void {
    if (this.waiting === undefined) {
      task();
    } else {
      this.waiting.push(task);
    }
  }

  pause(): void {
    this.waiting ??= [];
  }

  resume(): void {
    const tasks = this.waiting ?? [];
    this.waiting = undefined;
    tasks.forEach((task) => task());
  }
}
