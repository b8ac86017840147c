import type { Milliseconds } from '@apricotrill/utils';

/** What a daemon may expect of another one that has not ended for certain. */
export enum MemberStanding {
  /** It may own shards and witness for others. */
  Active = 'active',
  /** It answers and keeps what it has, and gets nothing new: it shuts down, or comes and goes. */
  Passive = 'passive',
  /** It does not answer. It may live, but nobody waits for it. */
  Doubted = 'doubted',
}

/**
 * A daemon that takes part in claims and has not ended for certain.
 *
 * @public
 */
export interface ClaimMember {
  id: string;
  /** Grows with each start of the process: an older incarnation of the same id has ended. */
  incarnation: number;
  availabilityZone: string;
  /** Where its peers reach it, as `host:port`. */
  address: string;
  /** By the view of whoever lists it; active when absent. */
  standing?: MemberStanding;
}

/**
 * The process that runs a claimed request.
 *
 * @public
 */
export interface ClaimHolder {
  id: string;
  incarnation: number;
}

/**
 * What a daemon asks before it dispatches a request that may not be repeated.
 *
 * @public
 */
export interface ClaimQuery {
  workspace: string;
  /** The caller's Idempotency-Key. */
  key: string;
  /** Hash over method, path and body: the same key with another one is a mistake of the caller. */
  fingerprint: string;
  requestId: string;
}

/**
 * One try at a key, as the entry daemon sends it to the shard's owner.
 *
 * @public
 */
export interface ClaimRequest {
  /** Workspace and key. */
  name: string;
  fingerprint: string;
  requestId: string;
  /** Identity of this try, unique over all daemons and time. */
  claim: string;
  holder: ClaimHolder;
}

/**
 * The right to run a request once.
 *
 * @public
 */
export interface ClaimHandle {
  shard: number;
  request: ClaimRequest;
  /**
   * By the entry daemon's clock: dispatch only before it, and end the request by then. A run that
   * outlives it is no longer protected against a second one.
   */
  deadline: Milliseconds;
}

/**
 * The whole answer of a request that ran.
 *
 * @public
 */
export interface CompleteResponse {
  kind: 'whole';
  status: number;
  headers: Record<string, string>;
  body: string;
}

/**
 * What is kept of an answer for repeats: all of it, or its status when the body was too long.
 *
 * @public
 */
export type StoredResponse = CompleteResponse | { kind: 'status-only'; status: number };

/**
 * How a granted request ended. `not-run` needs proof (no byte left the daemon, or a documented
 * refusal) and frees the key; `unknown` is everything that broke after it may have run.
 *
 * @public
 */
export type ClaimOutcome =
  { kind: 'answered'; answer: StoredResponse } | { kind: 'not-run' } | { kind: 'unknown' };

/** Why nobody can tell whether a key's request ran. */
export enum UnknownCause {
  /** The daemon that ran it is gone and left no outcome. */
  HolderGone = 'holder-gone',
  /** Its connection broke after it may have run. */
  Broken = 'broken',
  /** It has been running for longer than the retention. */
  Overdue = 'overdue',
  /** The shard's last owner and its witness were both lost: grants may be unknown here. */
  Quarantine = 'quarantine',
}

/** Why a claim was refused without running. */
export enum RefusalReason {
  /** The store gives no answer, and the witness cannot stand in. */
  StoreUnavailable = 'store-unavailable',
  /** No reachable daemon owns the shard. */
  NoOwner = 'no-owner',
  /** No answer in time. */
  Timeout = 'timeout',
  /** The shard remembers as much as it may. */
  Overload = 'overload',
  /** This daemon is shutting down. */
  Leaving = 'leaving',
  /** Daemons disagree on the number of shards. */
  LayoutMismatch = 'layout-mismatch',
}

/**
 * The answer to a claim. Only `granted` allows a dispatch.
 *
 * `unavailable` says that this try was not run, which is no word on the key: an earlier try may be
 * running for the same caller. Only a grant proves that none is, since it takes effect at the store
 * or the witness. A daemon that heard of no owner doesn't know, nor does an owner that may have
 * lost the shard to another one.
 *
 * @public
 */
export type ClaimResult =
  | { kind: 'granted'; handle: ClaimHandle }
  | { kind: 'in-progress'; requestId: string }
  | { kind: 'settled'; requestId: string; answer: StoredResponse }
  | { kind: 'mismatch'; requestId: string }
  | { kind: 'unknown'; cause: UnknownCause }
  | {
      kind: 'unavailable';
      retryAfter: Milliseconds;
      reason: RefusalReason;
      /** The key was granted to this try, too late to be used: no other try has run under it. */
      isProvedNotRun: boolean;
    };
