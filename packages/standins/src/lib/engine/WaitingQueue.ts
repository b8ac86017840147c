import type { EngineJob } from './EngineBatch.js';

/** Requests that wait for a slot, by priority and then in order of arrival. */
export class WaitingQueue {
  private readonly jobs: EngineJob[] = [];

  get size(): number {
    return this.jobs.length;
  }

  add(job: EngineJob): void {
    let index = this.jobs.length;
    while (index > 0 && this.jobs[index - 1]!.priority > job.priority) {
      index -= 1;
    }
    this.jobs.splice(index, 0, job);
  }

  shift(): EngineJob | undefined {
    return this.jobs.shift();
  }

  /** @returns whether the request was waiting */
  remove(id: string): boolean {
    const index = this.jobs.findIndex((job) => job.id === id);
    if (index < 0) {
      return false;
    }
    this.jobs.splice(index, 1);
    return true;
  }

  clear(): void {
    this.jobs.length = 0;
  }
}
