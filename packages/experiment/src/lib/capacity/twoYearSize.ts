/**
 * The size that the system has to carry in about two years, and what control may cost then.
 * These figures are given; everything else on the capacity page is measured or marked as assumed.
 */
export const twoYearSize = {
  daemons: 1_800,
  replicas: 6_900,
  workspaces: 3_500,
  models: 21,
  availabilityZones: 16,
  regions: 5,
  requestsPerSecond: 42_000,
  tokensPerSecond: 20_000_000,
  changesPerDay: 8_300,
  /** Seconds until an accepted change is in force everywhere. */
  changeSeconds: 5,
  instanceFailuresPerDay: 150,
  instanceRestartsPerDay: 1_600,
  tiers: 6,
} as const;

/** What one daemon may spend on control. */
export const controlBudget = {
  core: 0.029,
  memoryBytes: 64 * 2 ** 20,
  /** Kilobytes are thousands here, the stricter reading. */
  bytesPerSecond: 19_000,
} as const;

/**
 * What the platform's store takes a second, for the whole system. "Several hundred" writes are
 * read as 300, the strictest usual reading.
 */
export const storeBudget = { writes: 300, reads: 2_000 } as const;

export const SECONDS_PER_DAY = 86_400;

/** Changes of configuration a second, on average over a day. */
export const CHANGES_PER_SECOND = twoYearSize.changesPerDay / SECONDS_PER_DAY;

/** Requests a second that one daemon carries. */
export const DAEMON_REQUESTS = twoYearSize.requestsPerSecond / twoYearSize.daemons;

/** Tokens a second that one daemon relays. */
export const DAEMON_TOKENS = twoYearSize.tokensPerSecond / twoYearSize.daemons;

/** Daemons that come or go in a second: each failure and each restart is a leaving and a joining. */
export const MEMBER_CHANGES_PER_SECOND =
  (2 * (twoYearSize.instanceFailuresPerDay + twoYearSize.instanceRestartsPerDay)) / SECONDS_PER_DAY;
