import type { Milliseconds } from '@apricotrill/utils';
import { AttemptEnd } from '../../decide/messages.js';

/** Durations of answers that are kept for each service. */
const KEPT = 64;

/** Part of the durations that are taken to have met no queue. */
const UNQUEUED_PART = 0.25;

/** An attempt that is over. */
export interface EndedAttempt {
  service: string;
  end: AttemptEnd;
  sentAt: Milliseconds;
  endedAt: Milliseconds;
  isStream: boolean;
}

/**
 * Estimates when replicas began to run requests, which they do not tell.
 *
 * A stream runs from its first event on, so its end shows nothing. A plain answer comes when the run
 * is over, so its duration without a queue, as learned from the quickest answers, is taken off.
 */
export class RunStarts {
  private readonly durations = new Map<string, Milliseconds[]>();

  /** @returns undefined where nothing shows that the replica began */
  getStart(attempt: EndedAttempt): Milliseconds | undefined {
    const { end, isStream } = attempt;
    if (isStream && end !== AttemptEnd.Failed) {
      return undefined;
    }
    switch (end) {
      case AttemptEnd.Completed:
        this.learn(attempt);
        return this.getPlainStart(attempt);
      case AttemptEnd.Failed:
      case AttemptEnd.Broken:
      case AttemptEnd.Cancelled:
        return this.getPlainStart(attempt);
      case AttemptEnd.NotSent:
      case AttemptEnd.Refused:
      case AttemptEnd.Misdirected:
        return undefined;
      default:
        return end satisfies never;
    }
  }

  private learn({ service, sentAt, endedAt }: EndedAttempt): void {
    const durations = this.durations.get(service) ?? [];
    this.durations.set(service, durations);
    durations.push(endedAt - sentAt);
    if (durations.length > KEPT) {
      durations.shift();
    }
  }

  private getPlainStart({ service, sentAt, endedAt }: EndedAttempt): Milliseconds {
    const durations = [...(this.durations.get(service) ?? [])].sort((one, other) => one - other);
    const unqueued = durations[Math.floor(durations.length * UNQUEUED_PART)];
    return unqueued === undefined ? sentAt : Math.max(sentAt, endedAt - unqueued);
  }
}
