/** Records a limited number of runs, which tests compare with their expectations. */
export class RunLog<Run> {
  private readonly runs: Run[] = [];

  private evictedCount = 0;

  /** @param maxRuns - how many runs are kept; the oldest are evicted first */
  constructor(private readonly maxRuns = 200_000) {}

  /** Adds a run, which the caller keeps updating while it is in progress. */
  add(run: Run): Run {
    this.runs.push(run);
    if (this.runs.length > 2 * this.maxRuns) {
      this.evictedCount += this.runs.length - this.maxRuns;
      this.runs.splice(0, this.runs.length - this.maxRuns);
    }
    return run;
  }

  getRuns(): Run[] {
    return [...this.runs];
  }

  /** Returns how many runs have been evicted. */
  getEvictedCount(): number {
    return this.evictedCount;
  }
}
