import type { Milliseconds } from '@apricotrill/utils';
import { RefusalReason } from './Applicant.js';
import type { AdmissionDecision, Applicant } from './Applicant.js';
import type { AdmissionOptions } from './admissionOptions.js';

/**
 * Refuses an applicant whose decision failed by an unexpected error. It doesn't wait for another try, since those
 * behind it would meet the same error.
 *
 * @example
 * ```ts
 * onDecision(createFailureDecision(applicant, clock.now(), admissionOptions));
 * ```
 */
export function createFailureDecision(
  applicant: Applicant,
  now: Milliseconds,
  { minRetryAfter }: Pick<AdmissionOptions, 'minRetryAfter'>,
): Extract<AdmissionDecision, { kind: 'refuse' }> {
  const expected = Math.max(now, applicant.deadline) - applicant.arrivedAt;
  return {
    kind: 'refuse',
    applicant,
    reason: RefusalReason.Failed,
    retryAfter: minRetryAfter,
    expected,
  };
}
