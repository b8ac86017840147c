/** Options for reading and applying the accepted configuration. */
export interface ConfigurationOptions {
  /** Maximum attempts of one apply, after lost responses or conflicting writes. Default 5. */
  maxApplyAttempts: number;
  /** Maximum attempts of one read, when parts were deleted while it was reading. Default 3. */
  maxReadAttempts: number;
  /** Concurrent calls to the store while parts are read or written. Default 8. */
  maxConcurrentCalls: number;
  /** If more parts than this are to be read, a single list call reads them. Default 16. */
  maxSingleReads: number;
  /** Generations whose manifests and parts are retained for conflicts and lost responses. Default 200. */
  archivedGenerations: number;
}

/** The defaults. */
export const defaultConfigurationOptions: ConfigurationOptions = {
  maxApplyAttempts: 5,
  maxReadAttempts: 3,
  maxConcurrentCalls: 8,
  maxSingleReads: 16,
  archivedGenerations: 200,
};

/**
 * A part above this size is split in two. At 6,900 replicas and 3,500 workspaces the combined size
 * of the manifest and one part is smallest near this value: smaller parts make the manifest longer.
 */
export const MAX_PART_BYTES = 16384;

/** The store's limit for one value, in bytes of UTF-8. */
export const MAX_VALUE_BYTES = 1048576;

/** Earlier changes that a manifest lists. */
export const MAX_RECENT_CHANGES = 32;
