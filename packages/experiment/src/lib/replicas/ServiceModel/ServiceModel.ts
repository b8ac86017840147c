import { assert } from '@apricotrill/utils';
import type { Clock, Timer } from '@apricotrill/utils';
import type { Job, Load, OutputListener, ReplicaModel } from '../ReplicaModel.js';

/** Maximum number of waiting jobs for each slot; beyond it a plain service refuses jobs. */
const MAX_WAITING_PER_SLOT = 16;

interface RunningJob {
  job: Job;
  timer: Timer;
}

/**
 * A model of a plain application service. It runs a fixed number of calls concurrently and queues
 * the others in order of arrival, because such services do not support priorities.
 *
 * @example
 * ```ts
 * const service = new ServiceModel(clock, 8, (outputs) => deliver(outputs));
 * ```
 * @public
 */
export class ServiceModel implements ReplicaModel {
  private readonly running = new Map<string, RunningJob>();

  private readonly waiting: Job[] = [];

  private slowFactor = 1;

  constructor(
    private readonly clock: Clock,
    private readonly slots: number,
    private readonly listener: OutputListener,
  ) {}

  submit(job: Job): boolean {
    if (this.waiting.length >= this.slots * MAX_WAITING_PER_SLOT) {
      return false;
    }
    this.waiting.push(job);
    this.startNext();
    return true;
  }

  /** A running call continues to its end, as application code does when its caller hangs up. */
  cancel(key: string): void {
    const index = this.waiting.findIndex((job) => job.key === key);
    if (index >= 0) {
      this.waiting.splice(index, 1);
    }
  }

  getLoad(): Load {
    return { running: this.running.size, waiting: this.waiting.length };
  }

  setSlowFactor(factor: number): void {
    this.slowFactor = factor;
  }

  crash(): string[] {
    const lost = [...this.running.keys(), ...this.waiting.map(({ key }) => key)];
    this.running.forEach(({ timer }) => timer.cancel());
    this.running.clear();
    this.waiting.length = 0;
    return lost;
  }

  private startNext(): void {
    while (this.running.size < this.slots && this.waiting.length > 0) {
      const job = this.waiting.shift()!;
      assert(job.work.kind === 'plain', 'a plain service runs plain calls');
      const timer = this.clock.setTimer(job.work.serviceTime * this.slowFactor, () =>
        this.finish(job.key),
      );
      this.running.set(job.key, { job, timer });
    }
  }

  private finish(key: string): void {
    this.running.delete(key);
    this.startNext();
    this.listener([{ key, units: 1, finished: true }]);
  }
}
