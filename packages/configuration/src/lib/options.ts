/** Tunables of the accepted configuration. */
export interface ConfigurationOptions {
  /** How often an apply starts over after a lost answer or a write that came in between. Default 5. */
  applyAttempts: number;
  /** How often a read starts over when the parts it needs are gone by then. Default 3. */
  readAttempts: number;
  /** Calls to the store at a time while parts are read or written. Default 8. */
  concurrentCalls: number;
  /** With more parts to read than this, one list call takes their place. Default 16. */
  mostSingleReads: number;
  /** Generations whose manifests and parts are kept for conflicts and lost answers. Default 200. */
  archivedGenerations: number;
}

/** The documented defaults. */
export const DEFAULT_CONFIGURATION_OPTIONS: ConfigurationOptions = {
  applyAttempts: 5,
  readAttempts: 3,
  concurrentCalls: 8,
  mostSingleReads: 16,
  archivedGenerations: 200,
};

/**
 * A part is cut in two above this size. At 6,900 replicas and 3,500 workspaces the manifest and one
 * part together are smallest near here: smaller parts make a longer manifest.
 */
export const PART_BYTES = 16384;

/** What the store takes as one value, in bytes of UTF-8. */
export const LARGEST_VALUE_BYTES = 1048576;

/** Changes that a manifest remembers besides its own. */
export const RECENT_CHANGES = 32;
