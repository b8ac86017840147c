import { GiveUpReason } from '../messages.js';
import { Admission } from './Quarantine/Quarantine.js';

/** Returns why a request is not sent; undefined if it is. */
export function getRefusal(admission: Admission): GiveUpReason | undefined {
  switch (admission) {
    case Admission.Accepted:
    case Admission.Trial:
      return undefined;
    case Admission.Quarantined:
      return GiveUpReason.Quarantined;
    case Admission.UnderReview:
      return GiveUpReason.UnderReview;
    default:
      return admission satisfies never;
  }
}
