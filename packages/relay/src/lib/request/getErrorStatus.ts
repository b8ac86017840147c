import { GiveUpReason, Outcome } from '../decide/messages.js';

/** Returns the status of the response to a request that is given up. */
export function getErrorStatus(outcome: Outcome, reason: GiveUpReason): number {
  switch (reason) {
    case GiveUpReason.Deadline:
      return 504;
    case GiveUpReason.NoReplica:
    case GiveUpReason.VersionGone:
    case GiveUpReason.Refused:
    case GiveUpReason.Overload:
    case GiveUpReason.BackedOff:
    case GiveUpReason.UnderReview:
    case GiveUpReason.Failed:
      return outcome === Outcome.NotRun ? 503 : 502;
    case GiveUpReason.MayHaveRun:
      return 502;
    case GiveUpReason.Quarantined:
      // Not 503, which callers would retry.
      return 502;
    default:
      return reason satisfies never;
  }
}
