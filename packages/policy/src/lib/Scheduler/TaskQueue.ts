import type { Clock } from '@apricotrill/utils';
import type { SchedulerEffect } from '../messages.js';

/**
 * Runs message handlers and timer callbacks one at a time, and emits their effects in between. The
 * receiver of an effect may send the next message synchronously; without this queue, that message
 * would be handled while the state is only partly updated.
 *
 * @internal
 */
export class TaskQueue {
  /** A clock whose timer callbacks run as tasks. The scheduler uses only this clock. */
  readonly clock: Clock;

  private readonly tasks: (() => void)[] = [];

  private readonly effects: SchedulerEffect[] = [];

  private readonly onEffect: (effect: SchedulerEffect) => void;

  private isRunning = false;

  constructor(clock: Clock, onEffect: (effect: SchedulerEffect) => void) {
    this.onEffect = onEffect;
    this.clock = {
      now: () => clock.now(),
      setTimer: (delay, callback) => clock.setTimer(delay, () => this.run(callback)),
    };
  }

  /** Emits an effect after the current task has ended. */
  emit(effect: SchedulerEffect): void {
    this.effects.push(effect);
  }

  /** Runs a task, or queues it if another one is running. */
  run(task: () => void): void {
    this.tasks.push(task);
    if (this.isRunning) {
      return;
    }
    this.isRunning = true;
    try {
      while (this.runNext());
    } finally {
      this.isRunning = false;
    }
  }

  /** Emits pending effects, in order, before it runs the next task. */
  private runNext(): boolean {
    const effect = this.effects.shift();
    if (effect !== undefined) {
      this.onEffect(effect);
      return true;
    }
    const task = this.tasks.shift();
    task?.();
    return task !== undefined;
  }
}
