/** Keeps what ran, up to a number of runs, for the oracle of tests. */
export class RunLog<Run> {
  private readonly runs: Run[] = [];

  private forgotten = 0;

  /** @param kept - how many runs are kept; the oldest go first */
  constructor(private readonly kept = 200_000) {}

  /** Adds a run, which the caller goes on changing while it runs. */
  add(run: Run): Run {
    this.runs.push(run);
    if (this.runs.length > 2 * this.kept) {
      this.forgotten += this.runs.length - this.kept;
      this.runs.splice(0, this.runs.length - this.kept);
    }
    return run;
  }

  getRuns(): Run[] {
    return [...this.runs];
  }

  /** How many runs were too many to keep. */
  getForgotten(): number {
    return this.forgotten;
  }
}
