import { AttemptEnd, GiveUpReason, Outcome } from './messages.js';
import type { RequestRecord } from './RequestRecord.js';

/** What follows the end of an attempt. */
export type NextStep =
  | { kind: 'settle' }
  /** `isRepeat`: a replica has seen the request before, so that the allowance must be asked. */
  | { kind: 'place'; isRepeat: boolean; otherwise: 'settle' | GiveUp }
  | GiveUp;

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

/** Once an attempt may have run, no later refusal makes the request one that has not. */
function asKnown(record: RequestRecord, step: GiveUp): GiveUp {
  return record.mayHaveRun ? MAY_HAVE_RUN : step;
}

/**
 * What follows the end of an attempt, by what the end proves. Only a refusal and a send that never
 * left prove that nothing ran; a request that may not run twice goes on after these alone.
 *
 * @param record - the request, with this attempt counted
 * @param end - how the attempt ended
 * @param unsentLimit - sends that may fail to leave before the request is given up
 */
export function getNextStep(record: RequestRecord, end: AttemptEnd, unsentLimit: number): NextStep {
  const { request } = record;
  const hasAttempts = record.sentAttempts < request.maxAttempts;
  switch (end) {
    case AttemptEnd.Completed:
      return { kind: 'settle' };
    case AttemptEnd.Failed:
      return request.repeatable && hasAttempts
        ? { kind: 'place', isRepeat: true, otherwise: 'settle' }
        : { kind: 'settle' };
    case AttemptEnd.NotSent:
    case AttemptEnd.Misdirected:
      return record.unsentAttempts < unsentLimit
        ? {
            kind: 'place',
            isRepeat: record.sentAttempts > 0,
            otherwise: asKnown(record, NO_REPLICA),
          }
        : asKnown(record, NO_REPLICA);
    case AttemptEnd.Refused:
      return hasAttempts
        ? { kind: 'place', isRepeat: true, otherwise: asKnown(record, REFUSED) }
        : asKnown(record, REFUSED);
    case AttemptEnd.Broken:
    case AttemptEnd.Cancelled:
      return request.repeatable && hasAttempts
        ? { kind: 'place', isRepeat: true, otherwise: MAY_HAVE_RUN }
        : MAY_HAVE_RUN;
    default:
      return end satisfies never;
  }
}
