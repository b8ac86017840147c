import type { PutResult, StoredObject } from '@apricotrill/store';
import type { Milliseconds } from '@apricotrill/utils';

/** Input of the lease state machine. `attempt` identifies the call that a result belongs to. */
export type LeaseMessage =
  /** Time passed, or this daemon's rank among the lease's candidates (0 is preferred) changed. */
  | { kind: 'tick'; rank: number }
  | { kind: 'read-completed'; attempt: number; object: StoredObject | undefined }
  | { kind: 'write-completed'; attempt: number; result: PutResult }
  /** The call failed or timed out; a write may or may not have taken effect. */
  | { kind: 'call-failed'; attempt: number }
  /** A receiver has seen a fencing number higher than this daemon's. */
  | { kind: 'fenced'; highest: number }
  /** This process was suspended for a time that its clock did not count. */
  | { kind: 'suspended' }
  | { kind: 'release' };

/** Output of the lease state machine. At most one call is in flight at a time. */
export type LeaseEffect =
  | { kind: 'read'; attempt: number }
  | { kind: 'write'; attempt: number; value: string; expectedVersion: number }
  | { kind: 'wake'; at: Milliseconds };
