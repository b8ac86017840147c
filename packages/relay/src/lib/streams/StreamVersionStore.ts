import type { StreamVersion } from './StreamVersions/StreamVersions.js';

/**
 * Persistent storage for the software versions of streams, which outlives all daemons.
 *
 * @public
 */
export interface StreamVersionStore {
  /** Replaces the streams that are stored under a name. @throws StepError */
  write(name: string, streams: readonly StreamVersion[]): Promise<void>;
  /** Returns all streams, by the name under which they are stored. @throws StepError */
  list(): Promise<ReadonlyMap<string, readonly StreamVersion[]>>;
}
