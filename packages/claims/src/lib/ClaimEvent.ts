import type { Milliseconds } from '@apricotrill/utils';
import type { ClaimResult, RefusalReason } from './claimTypes.js';
import type { ClaimResponse, OwnerResponse } from './messages.js';

/** What made the response to a claim final. */
export enum AnswerSource {
  /** A commit at the store. */
  Store = 'store',
  /** The memory of the witness, while the store did not respond. */
  Witness = 'witness',
  /** State that the owner already had. */
  Memory = 'memory',
}

/** How a new owner learned which claims the previous owner granted without the store. */
export enum TakeoverProof {
  /** There was no previous owner. */
  Fresh = 'fresh',
  /** The previous owner had handed the shard over. */
  Clean = 'clean',
  /** The previous owner had no witness, so it granted nothing without the store. */
  NoWitness = 'no-witness',
  /** The witness returned the mutations it remembered and sealed the epoch. */
  Sealed = 'sealed',
  /** The store holds an earlier takeover by this daemon whose confirmation was lost. */
  OwnCommit = 'own-commit',
  /** No proof: the shard is in quarantine. */
  None = 'none',
}

/** Why an owner lost a shard. */
export enum LossCause {
  /** A commit conflicted with one of a newer owner. */
  Conflict = 'conflict',
  /**
   * A commit conflicted with one of a newer owner that has released the shard since: it has no
   * owner.
   */
  Vacant = 'vacant',
  /** A new owner that could not reach the witness asked this owner to release the shard. */
  Challenged = 'challenged',
  HandedOver = 'handed-over',
}

/**
 * One call to a daemon in the search for the owner of a shard.
 *
 * @public
 */
export interface OwnerCall {
  peer: string;
  /** `none`: no response in time. */
  reply: ClaimResponse['kind'] | 'none';
  /** When the call was sent, by the entry daemon's clock. */
  at: Milliseconds;
  spent: Milliseconds;
}

/**
 * An event of this package, for the log of the daemon.
 *
 * @public
 */
export type ClaimEvent =
  /** A claim ended at its entry daemon. */
  | {
      kind: 'claim-ended';
      shard: number;
      requestId: string;
      answer: ClaimResult['kind'];
      reason?: RefusalReason;
      calls: number;
      spent: Milliseconds;
      /**
       * The last daemons asked, if the claim failed or took several calls: shows which one was
       * slow.
       */
      tries?: readonly OwnerCall[];
    }
  /** An owner responded to a claim. */
  | {
      kind: 'claim-answered';
      shard: number;
      epoch: number;
      requestId: string;
      holder: string;
      answer: OwnerResponse['kind'];
      source: AnswerSource;
    }
  | { kind: 'claim-refused'; shard: number; requestId: string; reason: RefusalReason }
  | { kind: 'shard-taken'; shard: number; epoch: number; witness?: string; proof: TakeoverProof }
  | { kind: 'shard-left'; shard: number; epoch: number; to?: string; cause: LossCause }
  | { kind: 'witness-changed'; shard: number; epoch: number; witness?: string }
  | { kind: 'epoch-sealed'; shard: number; epoch: number; by: string }
  | { kind: 'store-unavailable'; shard: number; epoch: number }
  | { kind: 'store-answers'; shard: number; epoch: number }
  /** The value of an object in the store does not have the form that its key demands. */
  | { kind: 'object-unreadable'; key: string }
  | { kind: 'quarantine-ended'; shard: number; epoch: number; merged: number }
  | { kind: 'segment-written'; shard: number; epoch: number; entries: number; size: number }
  | { kind: 'layout-mismatch'; expected: number; found: number };
