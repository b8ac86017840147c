import type { Clock, ManualClock, Milliseconds, Timer } from '@apricotrill/utils';

/** The clock of a process that can be paused: its timers and responses wait until it resumes. */
export class PausableClock implements Clock {
  private pendingTasks: (() => void)[] | undefined;

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

  /** Runs a task of the process, at once or when the process resumes. */
  run(task: () => void): void {
    if (this.pendingTasks === undefined) {
      task();
    } else {
      this.pendingTasks.push(task);
    }
  }

  pause(): void {
    this.pendingTasks ??= [];
  }

  resume(): void {
    const tasks = this.pendingTasks ?? [];
    this.pendingTasks = undefined;
    tasks.forEach((task) => task());
  }
}
