import type { Milliseconds } from '@apricotrill/utils';
import type {
  ClaimMember,
  ClaimOutcome,
  ClaimRequest,
  RefusalReason,
  StoredResponse,
  UnknownCause,
} from './claimTypes.js';

/** The messages between daemons. They are plain data that any codec can encode. */

/** State of the request of a key. */
export enum EntryState {
  Running = 'running',
  Settled = 'settled',
  Unknown = 'unknown',
}

/**
 * What a shard remembers of a key. `expires` is by the clock of the daemon that has the entry: when
 * an entry moves between daemons, its remaining lifetime is what counts.
 *
 * @public
 */
export interface ClaimEntry extends ClaimRequest {
  state: EntryState;
  answer?: StoredResponse;
  expires: Milliseconds;
  /** The mutation that last changed the entry. */
  sequence: number;
}

/**
 * One change of a shard. Mutations are numbered in the order in which the owner made them. Without
 * an entry the claim was released.
 *
 * @public
 */
export interface ClaimMutation {
  sequence: number;
  name: string;
  claim: string;
  entry?: ClaimEntry;
}

/** The role in which a daemon is asked to seal an epoch. */
export enum SealRole {
  Owner = 'owner',
  Witness = 'witness',
}

/**
 * The requests that daemons send each other.
 *
 * @public
 */
export type ClaimMessage =
  | { kind: 'claim'; shard: number; request: ClaimRequest }
  | { kind: 'settle'; shard: number; request: ClaimRequest; outcome: ClaimOutcome }
  /** The owner asks its witness to remember mutations. Those up to `committed` may be discarded. */
  | {
      kind: 'remember';
      shard: number;
      epoch: number;
      incarnation: number;
      committed: number;
      mutations: ClaimMutation[];
    }
  /** A new owner asks for the mutations that the store does not have, and for the epoch to end. */
  | { kind: 'seal'; shard: number; epoch: number; role: SealRole; incarnation: number }
  /** The previous owner has handed the shard over: take it over now. */
  | { kind: 'take'; shard: number };

/**
 * The response of an owner to a claim.
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
 * The responses that daemons send each other.
 *
 * @public
 */
export type ClaimResponse =
  | { kind: 'answer'; answer: OwnerResponse }
  /**
   * `held`: the claim may be remembered although it was not granted, so it must be released on
   * giving up.
   */
  | { kind: 'refused'; reason: RefusalReason; retryAfter: Milliseconds; held: boolean }
  | { kind: 'not-owner'; owner?: ClaimMember }
  /** `durable`: the store has the outcome. Otherwise it must be reported again later. */
  | { kind: 'settled'; durable: boolean }
  | { kind: 'remembered' }
  | { kind: 'sealed'; mutations: ClaimMutation[] }
  /** The epoch has been sealed: its owner may no longer grant claims with this witness alone. */
  | { kind: 'epoch-sealed' }
  /** The requested incarnation has ended, or has released the epoch for good. */
  | { kind: 'gone' }
  | { kind: 'noted' };
