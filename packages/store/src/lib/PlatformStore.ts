import { StepError } from '@apricotrill/utils';

/**
 * An object as the platform's store holds it.
 *
 * @public
 */
export interface StoredObject {
  key: string;
  /** JSON text of at most a megabyte. */
  value: string;
  /** Grows with every accepted write to any object; never reused. */
  version: number;
}

/**
 * What a conditional write ended in. A write whose answer was lost throws
 * {@link StoreUnavailableError} instead: the caller reads back to learn whether it took effect.
 *
 * @public
 */
export type PutResult =
  { kind: 'accepted'; version: number } | { kind: 'conflict'; current: StoredObject | undefined };

/**
 * A change seen by a watch. `value` is absent when the object was deleted.
 *
 * @public
 */
export interface StoreChange {
  key: string;
  value: string | undefined;
  version: number;
}

/**
 * The platform's object store: versions, conditional updates, watches. It has outages, and a write
 * can take effect while the answer confirming it is lost.
 *
 * @public
 */
export interface PlatformStore {
  /** Reads one object. @throws StoreUnavailableError */
  get(key: string): Promise<StoredObject | undefined>;
  /** Lists objects whose key starts with the prefix. @throws StoreUnavailableError */
  list(prefix: string): Promise<StoredObject[]>;
  /**
   * Writes if the object is still at `expectedVersion` (0: it must not exist).
   *
   * @throws StoreUnavailableError when no answer came: the write may or may not have taken effect
   */
  put(key: string, value: string, expectedVersion: number): Promise<PutResult>;
  /** Deletes if still at `expectedVersion`. @throws StoreUnavailableError */
  delete(key: string, expectedVersion: number): Promise<PutResult>;
  /**
   * Waits (one waiting call) for changes under the prefix after a version; resolves with an empty
   * list when the platform's waiting time ends.
   *
   * @throws StoreUnavailableError
   */
  watch(prefix: string, afterVersion: number, signal?: AbortSignal): Promise<StoreChange[]>;
}

/**
 * The store gave no answer: down, slow beyond the timeout, or the answer was lost.
 *
 * @public
 */
export class StoreUnavailableError extends StepError {}
