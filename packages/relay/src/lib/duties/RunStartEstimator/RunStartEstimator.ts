import type { Milliseconds } from '@apricotrill/utils';
import { AttemptEnd } from '../../decide/messages.js';

/** Number of response durations that are kept per service. */
const MAX_DURATIONS = 64;

/** Quantile of the durations that is taken for the duration of a response without a queue. */
const UNQUEUED_QUANTILE = 0.25;

/** An attempt that has ended. */
export interface EndedAttempt {
  service: string;
  end: AttemptEnd;
  sentAt: Milliseconds;
  endedAt: Milliseconds;
  isStream: boolean;
}

/**
 * Estimates when replicas began to run requests, since they do not report it.
 *
 * A stream begins to run with its first event, so its end adds no information. A non-streamed response
 * arrives at the end of the run. Its start is estimated by subtracting the duration of a response
 * without a queue, which is derived from the fastest responses.
 */
export class RunStartEstimator {
  private readonly durations = new Map<string, Milliseconds[]>();

  /** @returns undefined if there is no evidence that the replica began to run the request */
  estimateStart(attempt: EndedAttempt): Milliseconds | undefined {
    const { end, isStream } = attempt;
    if (isStream && end !== AttemptEnd.Failed) {
      return undefined;
    }
    switch (end) {
      case AttemptEnd.Completed:
        this.recordDuration(attempt);
        return this.estimateNonStreamedStart(attempt);
      case AttemptEnd.Failed:
      case AttemptEnd.Broken:
      case AttemptEnd.Unread:
      case AttemptEnd.Cancelled:
        return this.estimateNonStreamedStart(attempt);
      case AttemptEnd.NotSent:
      case AttemptEnd.NoPath:
      case AttemptEnd.Withdrawn:
      case AttemptEnd.Refused:
      case AttemptEnd.Misdirected:
        return undefined;
      default:
        return end satisfies never;
    }
  }

  private recordDuration({ service, sentAt, endedAt }: EndedAttempt): void {
    const durations = this.durations.get(service) ?? [];
    this.durations.set(service, durations);
    durations.push(endedAt - sentAt);
    if (durations.length > MAX_DURATIONS) {
      durations.shift();
    }
  }

  private estimateNonStreamedStart({ service, sentAt, endedAt }: EndedAttempt): Milliseconds {
    const durations = [...(this.durations.get(service) ?? [])].sort((one, other) => one - other);
    const unqueued = durations[Math.floor(durations.length * UNQUEUED_QUANTILE)];
    return unqueued === undefined ? sentAt : Math.max(sentAt, endedAt - unqueued);
  }
}
