import { AttemptStatus, ExecutionOutcome } from '../messages.js';
import type { ScheduledRequest } from '../messages.js';

/**
 * A request at a baseline.
 *
 * @internal
 */
export class BaselineJob {
  readonly request: ScheduledRequest;

  readonly rank: number;

  readonly sequence: number;

  /** Replicas that failed it; others are tried first. */
  readonly failed = new Set<string>();

  /** Where it runs, if it does. */
  replica: string | undefined;

  attempt = 0;

  private deliveredTokens = 0;

  private begun = false;

  private mayHaveRun = false;

  constructor(request: ScheduledRequest, rank: number, sequence: number) {
    this.request = request;
    this.rank = rank;
    this.sequence = sequence;
  }

  get resumeAt(): number {
    return this.request.resumable ? this.deliveredTokens : 0;
  }

  get hasBegun(): boolean {
    return this.begun;
  }

  get outcome(): ExecutionOutcome {
    if (!this.mayHaveRun) {
      return ExecutionOutcome.NotRun;
    }
    return this.request.serviceClass.repeatable
      ? ExecutionOutcome.Failed
      : ExecutionOutcome.Unknown;
  }

  get canGoOn(): boolean {
    const { resumable, serviceClass } = this.request;
    return !this.mayHaveRun || (serviceClass.repeatable && (resumable || !this.begun));
  }

  start(replica: string): void {
    this.attempt += 1;
    this.replica = replica;
  }

  progress(tokens: number): void {
    this.begun = true;
    this.deliveredTokens += tokens;
  }

  end(end: AttemptStatus): void {
    this.failed.add(this.replica!);
    this.replica = undefined;
    this.mayHaveRun ||= end !== AttemptStatus.NotSent && end !== AttemptStatus.Refused;
  }
}
