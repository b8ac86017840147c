import type { Milliseconds } from '@apricotrill/utils';

/**
 * The options of this package. Every daemon of a region must run with the same values of `shards`,
 * `retention`, `claimTimeout` and `witnessTrustTimeout`, because the safety argument compares them
 * across daemons.
 *
 * @public
 */
export interface ClaimOptions {
  /**
   * Number of shards that the keys are divided into. Each has one owner and one head object in the
   * store.
   */
  shards: number;
  /**
   * How long a key is remembered after its request ended. A request that is still running is
   * remembered for twice as long after its grant, and must end within one retention period.
   */
  retention: Milliseconds;
  /** Mean time between the starts of two commits of a shard, which limits the write rate. */
  commitInterval: Milliseconds;
  /**
   * How many commits may start at once after an idle period, so that a single claim need not wait.
   */
  commitBurst: number;
  /** How long an outcome may wait for a commit that some claim starts anyway. */
  settleDelay: Milliseconds;
  /** How long the entry daemon waits for a grant. A grant that arrives later is not used. */
  claimTimeout: Milliseconds;
  /** Timeout of a call to another daemon. */
  callTimeout: Milliseconds;
  /** Timeout of a call to the store. */
  storeTimeout: Milliseconds;
  /** How long a claim waits for the store before the witness is called as well. */
  witnessDelay: Milliseconds;
  /**
   * How long an owner may go on granting claims with its witness alone after the store last
   * confirmed that it owns the shard. A longer value survives longer outages of the store, and
   * lengthens the quarantine after a takeover that can reach neither the old owner nor its witness.
   */
  witnessTrustTimeout: Milliseconds;
  /** How often an idle owner reads the head of its shard to verify that it still owns it. */
  verifyInterval: Milliseconds;
  /** How long to wait after a change of the members before shards and witnesses move. */
  rebalanceDelay: Milliseconds;
  /** Minimum time that an owner keeps a shard before it hands it over to a preferred member. */
  minTenure: Milliseconds;
  /**
   * How long a daemon makes no attempt to take over a shard that it lost or failed to take over.
   */
  takeoverCooldown: Milliseconds;
  /**
   * Initial and maximum delay between attempts to reach a store, witness or owner that does not
   * respond.
   */
  retryDelay: Milliseconds;
  maxRetryDelay: Milliseconds;
  /**
   * Maximum number of members, in order of preference, that an entry daemon asks for the owner of a
   * shard.
   */
  candidates: number;
  /**
   * Maximum size in bytes of a response that is stored for repeats. Only the status of a longer one
   * is stored.
   */
  maxResponseSize: number;
  /** When settled entries in the head exceed this size in bytes, they are moved into segments. */
  segmentThreshold: number;
  /** Maximum size in bytes of one segment object. */
  maxSegmentSize: number;
  /**
   * Maximum size in bytes of the entries in a head. Beyond it new keys are refused, and beyond half
   * of it only the status of responses is stored. Well below the limit of one megabyte per object
   * in the store.
   */
  maxHeadSize: number;
  /** Maximum number of keys that a shard remembers. New keys are refused beyond it. */
  maxEntries: number;
}

const SECOND = 1000;

const MINUTE = 60 * SECOND;

const KIBIBYTE = 1024;

/**
 * The default options, sized for fleets of eight or nine daemons.
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
  rebalanceDelay: 5 * SECOND,
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
 * Fills in the defaults and refuses values with which a key could be granted twice.
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
