import type { Milliseconds } from '@apricotrill/utils';
import type {
  ClaimMember,
  ClaimOutcome,
  ClaimRequest,
  RefusalReason,
  StoredResponse,
  UnknownCause,
} from './claimTypes.js';

/** The messages between daemons: plain data, fit for any codec. */

/** Where a key's request stands. */
export enum EntryState {
  Running = 'running',
  Settled = 'settled',
  Unknown = 'unknown',
}

/**
 * What a shard remembers of a key. `expires` is by the clock of whoever holds the entry: when it
 * moves between daemons the span left is what counts.
 *
 * @public
 */
export interface ClaimEntry extends ClaimRequest {
  state: EntryState;
  answer?: StoredResponse;
  expires: Milliseconds;
  /** The mutation that last changed it. */
  sequence: number;
}

/**
 * One change of a shard in the order the owner made it. Without an entry the claim was released.
 *
 * @public
 */
export interface ClaimMutation {
  sequence: number;
  name: string;
  claim: string;
  entry?: ClaimEntry;
}

/** Whose word a challenger asks for. */
export enum SealRole {
  Owner = 'owner',
  Witness = 'witness',
}

/**
 * What daemons ask one another.
 *
 * @public
 */
export type ClaimMessage =
  | { kind: 'claim'; shard: number; request: ClaimRequest }
  | { kind: 'settle'; shard: number; request: ClaimRequest; outcome: ClaimOutcome }
  /** The owner asks its witness to remember mutations; those up to `committed` may be forgotten. */
  | {
      kind: 'remember';
      shard: number;
      epoch: number;
      incarnation: number;
      committed: number;
      mutations: ClaimMutation[];
    }
  /** A new owner asks for what the store does not have, and that the epoch ends here. */
  | { kind: 'seal'; shard: number; epoch: number; role: SealRole; incarnation: number }
  /** The last owner has left the shard clean: take it now. */
  | { kind: 'take'; shard: number };

/**
 * What an owner answers to a claim.
 *
 * @public
 */
export type OwnerResponse =
  | { kind: 'granted' }
  | { kind: 'in-progress'; requestId: string }
  | { kind: 'settled'; requestId: string; answer: StoredResponse }
  | { kind: 'mismatch'; requestId: string }
  | { kind: 'unknown'; cause: UnknownCause };

/**
 * What daemons answer one another.
 *
 * @public
 */
export type ClaimResponse =
  | { kind: 'answer'; answer: OwnerResponse }
  /** `held`: the claim may be remembered although it was not granted; release it when giving up. */
  | { kind: 'refused'; reason: RefusalReason; retryAfter: Milliseconds; held: boolean }
  | { kind: 'not-owner'; owner?: ClaimMember }
  /** `durable`: the store has it; otherwise report it again later. */
  | { kind: 'settled'; durable: boolean }
  | { kind: 'remembered' }
  | { kind: 'sealed'; mutations: ClaimMutation[] }
  /** The epoch is sealed against its owner: it may not grant on this witness's word. */
  | { kind: 'epoch-sealed' }
  /** The incarnation asked for has ended, or it has let go of the epoch for good. */
  | { kind: 'gone' }
  | { kind: 'noted' };
