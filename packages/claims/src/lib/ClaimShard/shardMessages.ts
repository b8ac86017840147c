import type { PutResult, StoredObject } from '@apricotrill/store';
import type { Milliseconds } from '@apricotrill/utils';
import type { ClaimEvent } from '../ClaimEvent.js';
import type { ClaimMember, ClaimOutcome, ClaimRequest } from '../claimTypes.js';
import type { ClaimMessage, ClaimResponse } from '../messages.js';
import type { ClaimOptions } from '../ClaimOptions.js';

/** What a store call that gave no answer ended in: it may or may not have taken effect. */
export const NO_ANSWER = 'no-answer';

/** A read of the head. */
export type HeadReadResult = { object: StoredObject | undefined } | typeof NO_ANSWER;

/** A read of all segments of the shard. */
export type SegmentsReadResult = StoredObject[] | typeof NO_ANSWER;

/** What a conditional write ended in. */
export type WriteResult = PutResult | typeof NO_ANSWER;

/**
 * A claim or an outcome that waits for its response.
 *
 * @internal
 */
export type ShardCall =
  | { kind: 'claim'; call: number; request: ClaimRequest }
  | { kind: 'settle'; call: number; request: ClaimRequest; outcome: ClaimOutcome };

/**
 * What happens to a shard.
 *
 * @internal
 */
export type ShardInput =
  | ShardCall
  /** A challenger that cannot reach our witness asks us to let the epoch go. */
  | { kind: 'challenge'; call: number; epoch: number }
  | { kind: 'members'; members: readonly ClaimMember[] }
  /** The members have been the same for a while: owners and witnesses may move. */
  | { kind: 'rebalance' }
  /** The last owner left the shard clean and named us. */
  | { kind: 'take' }
  /** The daemon shuts down. */
  | { kind: 'leave' }
  | { kind: 'head-read'; id: number; result: HeadReadResult }
  | { kind: 'segments-read'; id: number; result: SegmentsReadResult }
  | { kind: 'written'; id: number; result: WriteResult }
  /** `response` is absent when the peer gave none. */
  | { kind: 'peer-responded'; id: number; response: ClaimResponse | undefined }
  | { kind: 'wake' };

/**
 * What a shard wants done.
 *
 * @internal
 */
export type ShardEffect =
  | { kind: 'respond'; call: number; response: ClaimResponse }
  | { kind: 'read-head'; id: number }
  | { kind: 'read-segments'; id: number }
  | { kind: 'write'; id: number; key: string; value: string; expectedVersion: number }
  | { kind: 'delete'; key: string; expectedVersion: number }
  | { kind: 'call-peer'; id: number; peer: ClaimMember; message: ClaimMessage }
  | { kind: 'wake'; at: Milliseconds }
  /** A head commit took effect that made `claims` grants durable. */
  | { kind: 'committed'; claims: number }
  | { kind: 'event'; event: ClaimEvent };

/**
 * What the parts of a shard share.
 *
 * @internal
 */
export interface ShardContext {
  readonly shard: number;
  readonly self: ClaimMember;
  readonly options: ClaimOptions;
  readonly emit: (effect: ShardEffect) => void;
  members: readonly ClaimMember[];
  /** Identities of effects that are answered, and of commits; never the same twice. */
  readonly createId: () => number;
}
