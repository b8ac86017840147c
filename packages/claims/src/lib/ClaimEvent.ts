import type { Milliseconds } from '@apricotrill/utils';
import type { ClaimResult, RefusalReason } from './claimTypes.js';
import type { ClaimResponse, OwnerResponse } from './messages.js';

/** What made a claim's answer final. */
export enum AnswerSource {
  /** A commit at the store. */
  Store = 'store',
  /** The witness's memory, while the store gave no answer. */
  Witness = 'witness',
  /** What the owner knew already. */
  Memory = 'memory',
}

/** How a new owner learned what the last one may have granted without the store. */
export enum TakeoverProof {
  /** No owner before. */
  Fresh = 'fresh',
  /** The last owner had handed the shard over. */
  Clean = 'clean',
  /** The last owner had no witness, so it granted nothing without the store. */
  NoWitness = 'no-witness',
  /** The witness gave its memory and sealed the epoch. */
  Sealed = 'sealed',
  /** Our own takeover, whose confirmation was lost, is found in the store. */
  OwnCommit = 'own-commit',
  /** None: the shard is in quarantine. */
  None = 'none',
}

/** Why a shard left its owner. */
export enum LossCause {
  /** A commit of ours met a newer owner's. */
  Conflict = 'conflict',
  /** A commit of ours met a newer owner's, who has left the shard since: nobody owns it. */
  Vacant = 'vacant',
  /** A challenger that could not reach the witness asked us to let go. */
  Challenged = 'challenged',
  HandedOver = 'handed-over',
}

/**
 * One daemon that was asked for a claim.
 *
 * @public
 */
export interface OwnerCall {
  peer: string;
  /** `none`: no answer in time. */
  reply: ClaimResponse['kind'] | 'none';
  /** When it was asked, by the entry daemon's clock. */
  at: Milliseconds;
  spent: Milliseconds;
}

/**
 * Each event of this package, for the daemon's log.
 *
 * @public
 */
export type ClaimEvent =
  /** An entry daemon's claim ended. */
  | {
      kind: 'claim-ended';
      shard: number;
      requestId: string;
      answer: ClaimResult['kind'];
      reason?: RefusalReason;
      calls: number;
      spent: Milliseconds;
      /** Whom it asked last, where the claim failed or took several calls: which one was slow. */
      tries?: readonly OwnerCall[];
    }
  /** An owner answered a claim. */
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
  | { kind: 'quarantine-ended'; shard: number; epoch: number; merged: number }
  | { kind: 'segment-written'; shard: number; epoch: number; entries: number; size: number }
  | { kind: 'layout-mismatch'; expected: number; found: number };
