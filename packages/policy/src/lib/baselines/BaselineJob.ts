import { AttemptStatus, ExecutionOutcome } from '../messages.js';
import type { ScheduledRequest } from '../messages.js';

/**
 * A request handled by a baseline.
 *
 * @internal
 */
export class BaselineJob {
  readonly request: ScheduledRequest;

  readonly rank: number;

  readonly sequence: number;

  /** Ids of the replicas that failed the request; others are tried first. */
  readonly failedReplicas = new Set<string>();

  /** The id of the replica that runs the request; undefined if none does. */
  replica: string | undefined;

  attempt = 0;

  private deliveredTokens = 0;

  private started = false;

  private mayHaveRun = false;

  constructor(request: ScheduledRequest, rank: number, sequence: number) {
    this.request = request;
    this.rank = rank;
    this.sequence = sequence;
  }

  get resumeAt(): number {
    return this.request.resumable ? this.deliveredTokens : 0;
  }

  get hasStarted(): boolean {
    return this.started;
  }

  get outcome(): ExecutionOutcome {
    if (!this.mayHaveRun) {
      return ExecutionOutcome.NotRun;
    }
    return this.request.serviceClass.repeatable
      ? ExecutionOutcome.Failed
      : ExecutionOutcome.Unknown;
  }

  get canRetry(): boolean {
    const { resumable, serviceClass } = this.request;
    return !this.mayHaveRun || (serviceClass.repeatable && (resumable || !this.started));
  }

  startAttempt(replica: string): void {
    this.attempt += 1;
    this.replica = replica;
  }

  recordProgress(tokens: number): void {
    this.started = true;
    this.deliveredTokens += tokens;
  }

  endAttempt(status: AttemptStatus): void {
    this.failedReplicas.add(this.replica!);
    this.replica = undefined;
    this.mayHaveRun ||= status !== AttemptStatus.NotSent && status !== AttemptStatus.Refused;
  }
}
