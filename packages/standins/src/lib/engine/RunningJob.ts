import type { EngineJob } from './EngineBatch.js';

/** A request in a slot of the batch, with the progress of its prefill and its output. */
export class RunningJob {
  /** The index of the next token. */
  nextIndex: number;

  /** @param remainingPrefill - uncached prompt tokens to compute before the first output token */
  constructor(
    readonly job: EngineJob,
    private remainingPrefill: number,
  ) {
    this.nextIndex = job.startIndex;
  }

  /** Returns how many prompt tokens are computed in a step with a remaining prefill `budget`. */
  getPrefillTokens(budget: number): number {
    return Math.min(this.remainingPrefill, budget);
  }

  /** @returns whether the whole prompt has been computed */
  prefill(tokens: number): boolean {
    this.remainingPrefill -= tokens;
    return this.remainingPrefill <= 0;
  }

  isFirstToken(): boolean {
    return this.nextIndex === this.job.startIndex;
  }

  isFinished(): boolean {
    return this.nextIndex >= this.job.outputTokens;
  }

  /** @returns the index of the generated token */
  takeToken(): number {
    this.nextIndex += 1;
    return this.nextIndex - 1;
  }
}
