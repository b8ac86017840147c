import type { EngineJob } from './EngineBatch.js';

/** A request in a slot of the batch: how far its prompt and its answer have come. */
export class RunningJob {
  /** The next token to give. */
  nextIndex: number;

  /** @param prefillLeft - uncached tokens to be worked through before the first token */
  constructor(
    readonly job: EngineJob,
    private prefillLeft: number,
  ) {
    this.nextIndex = job.startIndex;
  }

  /** How many tokens of its prompt it works through in a step that has `budget` left for that. */
  getPrefill(budget: number): number {
    return Math.min(this.prefillLeft, budget);
  }

  /** @returns whether the whole prompt has been worked through */
  prefill(tokens: number): boolean {
    this.prefillLeft -= tokens;
    return this.prefillLeft <= 0;
  }

  isFirstToken(): boolean {
    return this.nextIndex === this.job.startIndex;
  }

  isFinished(): boolean {
    return this.nextIndex >= this.job.outputTokens;
  }

  /** @returns the index of the token given */
  takeToken(): number {
    this.nextIndex += 1;
    return this.nextIndex - 1;
  }
}
