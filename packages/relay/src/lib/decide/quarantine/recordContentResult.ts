import { AttemptEnd } from '../messages.js';
import type { RequestRecord, RunningAttempt } from '../RequestRecord.js';
import type { Quarantine } from './Quarantine/Quarantine.js';

/** Updates the quarantine with the result of an attempt. */
export function recordContentResult(
  quarantine: Quarantine,
  { fingerprints }: RequestRecord,
  { state }: RunningAttempt,
  end: AttemptEnd,
): void {
  switch (end) {
    case AttemptEnd.Completed:
    case AttemptEnd.Failed:
      quarantine.recordServed(fingerprints);
      break;
    case AttemptEnd.Broken:
      quarantine.recordBrokenAttempt(state.replica, fingerprints);
      break;
    case AttemptEnd.Misdirected:
      quarantine.recordGone(state.replica.id);
      break;
    case AttemptEnd.NotSent:
    case AttemptEnd.NoPath:
    case AttemptEnd.Withdrawn:
    case AttemptEnd.Refused:
    case AttemptEnd.Unread:
    case AttemptEnd.Cancelled:
      break;
    default:
      end satisfies never;
  }
}
