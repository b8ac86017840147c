import type { Milliseconds } from '@apricotrill/utils';

/** What a daemon may expect of another one that has not ended for certain. */
export enum MemberStanding {
  /** It may own shards and be a witness for others. */
  Active = 'active',
  /**
   * It responds and keeps its duties but gets no new ones, because it is shutting down or keeps
   * leaving and rejoining.
   */
  Passive = 'passive',
  /** It does not respond. It may still be alive, but no other daemon waits for it. */
  Suspect = 'doubted',
}

/**
 * A daemon that takes part in claims and has not ended for certain.
 *
 * @public
 */
export interface ClaimMember {
  id: string;
  /** Increases with each start of the process. An older incarnation of the same id has ended. */
  incarnation: number;
  availabilityZone: string;
  /** The address at which its peers reach it, as `host:port`. */
  address: string;
  /** As seen by the daemon that lists the member; active when absent. */
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
 * What an entry daemon asks for before it dispatches a request that must not run twice.
 *
 * @public
 */
export interface ClaimQuery {
  workspace: string;
  /** The caller's Idempotency-Key. */
  key: string;
  /**
   * Hash of method, path and body. The same key with a different fingerprint is an error of the
   * caller.
   */
  fingerprint: string;
  requestId: string;
}

/**
 * One attempt to claim a key, as the entry daemon sends it to the owner of the shard.
 *
 * @public
 */
export interface ClaimRequest {
  /** Workspace and key. */
  name: string;
  fingerprint: string;
  requestId: string;
  /** Id of this attempt, unique across all daemons and restarts. */
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
   * By the entry daemon's clock. The request may be dispatched only before it and must end by then:
   * a request that runs longer is no longer protected against a second run.
   */
  deadline: Milliseconds;
}

/**
 * The complete response of a request that ran.
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
 * What is stored of a response for repeats: all of it, or only its status if the body was too long.
 *
 * @public
 */
export type StoredResponse = CompleteResponse | { kind: 'status-only'; status: number };

/**
 * How a granted request ended. `not-run` requires proof (no byte left the daemon, or a documented
 * refusal) and releases the key. `unknown` covers every failure after which the request may have
 * run.
 *
 * @public
 */
export type ClaimOutcome =
  { kind: 'answered'; answer: StoredResponse } | { kind: 'not-run' } | { kind: 'unknown' };

/** Why it is unknown whether the request of a key ran. */
export enum UnknownCause {
  /** The daemon that ran it has ended without reporting an outcome. */
  HolderGone = 'holder-gone',
  /** Its connection broke after it may have run. */
  Broken = 'broken',
  /** It has been running for longer than the retention period. */
  Overdue = 'overdue',
  /**
   * The last owner of the shard and its witness were both lost, so there may be grants that this
   * owner does not know of.
   */
  Quarantine = 'quarantine',
}

/** Why a claim was refused and its request not run. */
export enum RefusalReason {
  /** The store does not respond, and the witness cannot replace it. */
  StoreUnavailable = 'store-unavailable',
  /** No reachable daemon owns the shard. */
  NoOwner = 'no-owner',
  /** No response in time. */
  Timeout = 'timeout',
  /** The shard has reached its maximum number or size of entries. */
  Overload = 'overload',
  /** This daemon is shutting down. */
  Leaving = 'leaving',
  /** The daemons run with different numbers of shards. */
  LayoutMismatch = 'layout-mismatch',
}

/**
 * The result of a claim. Only `granted` allows a dispatch.
 *
 * `unavailable` says only that this attempt was not run and nothing about the key: an earlier
 * attempt of the same caller may be running. Only a grant proves that none is, because it takes
 * effect at the store or the witness. A daemon that found no owner has no such proof, nor has an
 * owner that may have lost the shard to another one.
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
      /**
       * The key was granted to this attempt, but too late to be used: no other attempt has run
       * under it.
       */
      isProvedNotRun: boolean;
    };
