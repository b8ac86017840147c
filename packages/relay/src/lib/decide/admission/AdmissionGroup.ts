import type { Milliseconds } from '@apricotrill/utils';
import type { Applicant } from './Applicant.js';

/** The load of a replica group, as announced to daemons that may send requests elsewhere. */
export interface AdmissionLoad {
  /** Expected wait of a request that arrives now and is no more urgent than any that waits. */
  expectedWait: Milliseconds;
  /** Requests that could begin at once. */
  room: number;
}

/**
 * Decides which requests begin at the engines of one replica group, which wait and which are refused.
 * Emits exactly one `begin` or `refuse` for each applicant that does not withdraw, and at most one `wait`
 * before it.
 */
export interface AdmissionGroup {
  /** Decides about a new applicant at once: it begins, waits or is refused. */
  submit: (applicant: Applicant) => void;
  /** Removes an applicant that has ended, without a decision. */
  withdraw: (id: string) => void;
  /** Decides again about waiting applicants, after engines or attempts have changed. */
  review: () => void;
  /** Removes and returns all waiting applicants, when this daemon is no longer the placer. */
  dissolve: () => Applicant[];
  getLoad: () => AdmissionLoad;
  /** Number of waiting applicants. */
  readonly size: number;
}
