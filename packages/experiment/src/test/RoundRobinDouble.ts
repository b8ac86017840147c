import { AttemptStatus, CancelReason, GiveUpReason, ExecutionOutcome } from '@apricotrill/policy';
import type { ScheduledRequest, SchedulerMessage } from '@apricotrill/policy';
import type { Replica } from '@apricotrill/model';
import type { Policy, PolicyContext } from '../lib/policies/Policy.js';

interface Entry {
  request: ScheduledRequest;
  replica: string;
  attempt: number;
}

/** The simplest scheduler that speaks the messages: no queue, no retry, turn by turn. */
export class RoundRobinDouble implements Policy {
  private replicas: Replica[] = [];

  private readonly turns = new Map<string, number>();

  private readonly entries = new Map<string, Entry>();

  constructor(
    private readonly context: PolicyContext,
    private readonly silenceTimeout: number,
  ) {}

  handle(message: SchedulerMessage): void {
    if (message.kind === 'replicas') {
      this.replicas = message.replicas;
    } else if (message.kind === 'submit') {
      this.dispatch(message.request);
    } else if (message.kind === 'caller-left') {
      this.cancel(message.id);
    } else if (message.kind === 'attempt-ended') {
      this.end(message.id, message.end);
    }
  }

  // eslint-disable-next-line class-methods-use-this
  dispose(): void {}

  private dispatch(request: ScheduledRequest): void {
    const own = this.replicas.filter(({ service }) => service === request.service);
    const turn = this.turns.get(request.service) ?? 0;
    const replica = own[turn % own.length]!;
    this.turns.set(request.service, turn + 1);
    this.entries.set(request.id, { request, replica: replica.id, attempt: 1 });
    this.context.emit({
      kind: 'dispatch',
      id: request.id,
      attempt: 1,
      replica,
      resumeAt: 0,
      firstTokenTimeout: this.silenceTimeout,
      tokenGapTimeout: this.silenceTimeout,
      reason: 'turn',
    });
  }

  private cancel(id: string): void {
    const entry = this.entries.get(id);
    if (this.entries.delete(id)) {
      const { attempt, replica } = entry!;
      this.context.emit({ kind: 'cancel', id, attempt, replica, reason: CancelReason.CallerLeft });
    }
  }

  private end(id: string, end: AttemptStatus): void {
    this.entries.delete(id);
    if (end === AttemptStatus.Completed) {
      this.context.emit({ kind: 'done', id });
      return;
    }
    const outcome =
      end === AttemptStatus.Broken ? ExecutionOutcome.Unknown : ExecutionOutcome.NotRun;
    const reason = GiveUpReason.ReplicaFailed;
    this.context.emit({ kind: 'give-up', id, outcome, reason, retryAfter: 100 });
  }
}
