import type { Milliseconds } from '@apricotrill/utils';

/**
 * The tunables of this package. Every daemon of a region must run with the same values of `shards`,
 * `retention`, `claimTimeout` and `witnessTrustTimeout`: the safety argument compares them across daemons.
 *
 * @public
 */
export interface ClaimOptions {
  /** How many shards the keys are cut into; each has one owner and one object at the store. */
  shards: number;
  /**
   * How long a key is remembered after its request ended. A request that is still running is
   * remembered for twice as long after its grant, and must end within one retention.
   */
  retention: Milliseconds;
  /** Mean time between the starts of two commits of a shard: bounds the writes a second. */
  commitInterval: Milliseconds;
  /** How many commits may start at once after a quiet time, so that a lone claim need not wait. */
  commitBurst: number;
  /** How long an outcome may wait for a commit that some claim starts anyway. */
  settleDelay: Milliseconds;
  /** How long the entry daemon tries for a grant; a grant that arrives later is void. */
  claimTimeout: Milliseconds;
  /** How long a call to another daemon may take. */
  callTimeout: Milliseconds;
  /** How long a call to the store may take before it counts as unanswered. */
  storeTimeout: Milliseconds;
  /** How long a claim waits for the store before the witness is asked as well. */
  witnessDelay: Milliseconds;
  /**
   * How long an owner may go on granting on its witness's word after the store last showed that it
   * owns the shard. Longer carries longer outages, and lengthens the quarantine after a takeover
   * that can reach neither the old owner nor its witness.
   */
  witnessTrustTimeout: Milliseconds;
  /** How often an idle owner reads its object to prove that it still owns it. */
  verifyInterval: Milliseconds;
  /** How long a change of the members rests before shards and witnesses move. */
  moveDelay: Milliseconds;
  /** How long an owner keeps a shard before it hands it over to a preferred member. */
  minTenure: Milliseconds;
  /** How long a daemon leaves a shard alone after it lost it or could not take it. */
  takeoverCooldown: Milliseconds;
  /** First and longest wait between tries at a store, witness or owner that does not answer. */
  retryDelay: Milliseconds;
  maxRetryDelay: Milliseconds;
  /** How many members, in order of preference, an entry daemon asks for a shard's owner. */
  candidates: number;
  /** Longest answer kept whole for repeats, in bytes; of a longer one only the status is. */
  maxResponseSize: number;
  /** Settled entries of more bytes than this are moved from the head into segments. */
  segmentThreshold: number;
  /** Most bytes of one segment object. */
  maxSegmentSize: number;
  /**
   * Most bytes of entries in a head: beyond it new keys are refused, and of answers only the status
   * is kept. Well under the megabyte that the store takes.
   */
  maxHeadSize: number;
  /** Most keys a shard remembers; new keys are refused beyond it. */
  maxEntries: number;
}

const SECOND = 1000;

const MINUTE = 60 * SECOND;

const KIBIBYTE = 1024;

/**
 * The defaults, sized for today's fleets of eight or nine daemons.
 *
 * @public
 */
export const defaultClaimOptions: ClaimOptions = {
  shards: 16,
  retention: 15 * MINUTE,
  commitInterval: 100,
  commitBurst: 3,
  settleDelay: SECOND,
  claimTimeout: 2 * SECOND,
  callTimeout: SECOND,
  storeTimeout: SECOND,
  witnessDelay: 250,
  witnessTrustTimeout: 60 * MINUTE,
  verifyInterval: MINUTE,
  moveDelay: 5 * SECOND,
  minTenure: 30 * SECOND,
  takeoverCooldown: 5 * SECOND,
  retryDelay: 50,
  maxRetryDelay: 2 * SECOND,
  candidates: 3,
  maxResponseSize: 4 * KIBIBYTE,
  segmentThreshold: 16 * KIBIBYTE,
  maxSegmentSize: 512 * KIBIBYTE,
  maxHeadSize: 768 * KIBIBYTE,
  maxEntries: 20_000,
};

/**
 * Fills in the defaults and refuses values that would break the promise.
 *
 * @param overrides - the values that differ from the defaults
 * @throws RangeError naming the option that is out of range
 * @example
 * ```ts
 * const options = createClaimOptions({ shards: 64 });
 * ```
 * @public
 */
export function createClaimOptions(overrides: Partial<ClaimOptions> = {}): ClaimOptions {
  const options = { ...defaultClaimOptions, ...overrides };
  if (!Number.isInteger(options.shards) || options.shards < 1) {
    throw new RangeError(`shards must be a whole number of at least 1, not ${options.shards}`);
  }
  if (options.claimTimeout >= options.retention) {
    throw new RangeError('claimTimeout must be shorter than retention');
  }
  return options;
}
