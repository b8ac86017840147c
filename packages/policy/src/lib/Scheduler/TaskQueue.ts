import type { Clock } from '@apricotrill/utils';
import type { SchedulerEffect } from '../messages.js';

/**
 * Runs messages and timers one after the other and emits their effects in between. Whoever takes an
 * effect may send the next message at once; without this queue that message would find the state
 * half changed.
 *
 * @internal
 */
export class TaskQueue {
  /** The clock for everything inside: its timers run as tasks. */
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

  /** Emits an effect once the present task is over. */
  emit(effect: SchedulerEffect): void {
    this.effects.push(effect);
  }

  /** Runs a task, or queues it when one is under way. */
  run(task: () => void): void {
    this.tasks.push(task);
    if (this.isRunning) {
      return;
    }
    this.isRunning = true;
    try {
      while (this.step());
    } finally {
      this.isRunning = false;
    }
  }

  /** Effects go before further tasks, in the order in which they arose. */
  private step(): boolean {
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
