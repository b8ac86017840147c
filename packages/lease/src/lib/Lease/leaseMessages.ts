import type { PutResult, StoredObject } from '@apricotrill/store';
import type { Milliseconds } from '@apricotrill/utils';

/** What the lease is told. `attempt` names the call an answer belongs to. */
export type LeaseMessage =
  /** Time passed, or this daemon's rank among the lease's candidates (0 is preferred) changed. */
  | { kind: 'tick'; rank: number }
  | { kind: 'read-answered'; attempt: number; object: StoredObject | undefined }
  | { kind: 'write-answered'; attempt: number; outcome: PutResult }
  /** No answer came; a write may or may not have taken effect. */
  | { kind: 'call-failed'; attempt: number }
  /** An engine has seen a fencing number above ours. */
  | { kind: 'fenced'; highest: number }
  /** This process stood still for a while that its clock did not count. */
  | { kind: 'suspended' }
  | { kind: 'release' };

/** What the lease asks for. At most one call is under way at a time. */
export type LeaseEffect =
  | { kind: 'read'; attempt: number }
  | { kind: 'write'; attempt: number; value: string; expectedVersion: number }
  | { kind: 'wake'; at: Milliseconds };
