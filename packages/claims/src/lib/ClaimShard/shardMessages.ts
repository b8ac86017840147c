import type { PutResult, StoredObject } from '@apricotrill/store';
import type { Milliseconds } from '@apricotrill/utils';
import type { ClaimEvent } from '../ClaimEvent.js';
import type { ClaimMember, ClaimOutcome, ClaimRequest } from '../claimTypes.js';
import type { ClaimMessage, ClaimResponse } from '../messages.js';
import type { ClaimOptions } from '../ClaimOptions.js';

/** Result of a store call without a response. A write may or may not have taken effect. */
export const NO_ANSWER = 'no-answer';

/** Result of a read of the head. */
export type HeadReadResult = { object: StoredObject | undefined } | typeof NO_ANSWER;

/** Result of a read of all segments of the shard. */
export type SegmentsReadResult = StoredObject[] | typeof NO_ANSWER;

/** Result of a conditional write. */
export type WriteResult = PutResult | typeof NO_ANSWER;

/**
 * A claim or an outcome that waits for a response.
 *
 * @internal
 */
export type ShardCall =
  | { kind: 'claim'; call: number; request: ClaimRequest }
  | { kind: 'settle'; call: number; request: ClaimRequest; outcome: ClaimOutcome };

/**
 * The inputs of a shard.
 *
 * @internal
 */
export type ShardInput =
  | ShardCall
  /** A new owner that cannot reach the witness asks this daemon to release the epoch. */
  | { kind: 'challenge'; call: number; epoch: number }
  | { kind: 'members'; members: readonly ClaimMember[] }
  /** The members have not changed for a while, so owners and witnesses may move. */
  | { kind: 'rebalance' }
  /** The previous owner has handed the shard over to this daemon. */
  | { kind: 'take' }
  /** The daemon is shutting down. */
  | { kind: 'leave' }
  | { kind: 'head-read'; id: number; result: HeadReadResult }
  | { kind: 'segments-read'; id: number; result: SegmentsReadResult }
  | { kind: 'written'; id: number; result: WriteResult }
  /** `response` is undefined when the peer did not respond. */
  | { kind: 'peer-responded'; id: number; response: ClaimResponse | undefined }
  | { kind: 'wake' };

/**
 * The effects that a shard requests.
 *
 * @internal
 */
export type ShardEffect =
  | { kind: 'reply'; call: number; response: ClaimResponse }
  | { kind: 'read-head'; id: number }
  | { kind: 'read-segments'; id: number }
  | { kind: 'write'; id: number; key: string; value: string; expectedVersion: number }
  | { kind: 'delete'; key: string; expectedVersion: number }
  | { kind: 'call-peer'; id: number; peer: ClaimMember; message: ClaimMessage }
  | { kind: 'wake'; at: Milliseconds }
  /** A head commit took effect that made `claims` grants durable. */
  | { kind: 'committed'; claims: number }
  | { kind: 'decision'; event: ClaimEvent };

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
  /** Creates the id of a commit or of an effect with a result. Never returns the same id twice. */
  readonly createId: () => number;
}
