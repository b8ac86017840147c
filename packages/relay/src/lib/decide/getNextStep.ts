import { AttemptEnd, GiveUpReason, Outcome } from './messages.js';
import type { RequestRecord } from './RequestRecord.js';

/** How a request continues after the end of an attempt. */
export type NextStep =
  | { kind: 'settle' }
  /**
   * Another attempt. With `isRetry`, a replica has received the request before, and the attempt
   * counts against the retry budget. `fallback` applies if no further attempt is possible.
   */
  | { kind: 'place'; isRetry: boolean; fallback: Fallback }
  | GiveUp;

/** What becomes of a request without a further attempt. */
export type Fallback = 'settle' | GiveUp;

interface GiveUp {
  kind: 'give-up';
  outcome: Outcome;
  reason: GiveUpReason;
}

const REFUSED: GiveUp = {
  kind: 'give-up',
  outcome: Outcome.NotRun,
  reason: GiveUpReason.Refused,
};

const MAY_HAVE_RUN: GiveUp = {
  kind: 'give-up',
  outcome: Outcome.Unknown,
  reason: GiveUpReason.MayHaveRun,
};

const NO_REPLICA: GiveUp = {
  kind: 'give-up',
  outcome: Outcome.NotRun,
  reason: GiveUpReason.NoReplica,
};

/** If an attempt may have run, a later refusal does not prove that the request has not run. */
function withKnownOutcome(record: RequestRecord, step: GiveUp): GiveUp {
  return record.mayHaveRun ? MAY_HAVE_RUN : step;
}

/**
 * Decides how a request continues, depending on what the end of its attempt proves. Only a refusal,
 * a misdirected request and a failed send prove that the attempt did not run. A request that must
 * not run twice is retried only after these.
 *
 * @param record - the request, with this attempt counted
 * @param end - how the attempt ended
 * @param unsentLimit - maximum number of unsent attempts before the request is given up
 */
export function getNextStep(record: RequestRecord, end: AttemptEnd, unsentLimit: number): NextStep {
  const { request } = record;
  const hasAttempts = record.sentAttempts < request.maxAttempts;
  switch (end) {
    case AttemptEnd.Completed:
      return { kind: 'settle' };
    case AttemptEnd.Failed:
      return request.isRetryable && hasAttempts
        ? { kind: 'place', isRetry: true, fallback: 'settle' }
        : { kind: 'settle' };
    case AttemptEnd.NotSent:
    case AttemptEnd.NoPath:
    case AttemptEnd.Withdrawn:
    case AttemptEnd.Misdirected:
      return record.unsentAttempts < unsentLimit
        ? {
            kind: 'place',
            isRetry: record.sentAttempts > 0,
            fallback: withKnownOutcome(record, NO_REPLICA),
          }
        : withKnownOutcome(record, NO_REPLICA);
    case AttemptEnd.Refused:
      return hasAttempts
        ? { kind: 'place', isRetry: true, fallback: withKnownOutcome(record, REFUSED) }
        : withKnownOutcome(record, REFUSED);
    case AttemptEnd.Broken:
    case AttemptEnd.Unread:
    case AttemptEnd.Cancelled:
      return request.isRetryable && hasAttempts
        ? { kind: 'place', isRetry: true, fallback: MAY_HAVE_RUN }
        : MAY_HAVE_RUN;
    default:
      return end satisfies never;
  }
}
