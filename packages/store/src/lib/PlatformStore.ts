import { StepError } from '@apricotrill/utils';

/**
 * An object in the platform's store.
 *
 * @public
 */
export interface StoredObject {
  key: string;
  /** JSON text of at most 1 MiB. */
  value: string;
  /** Increases with every accepted write to any object; never reused. */
  version: number;
}

/**
 * The result of a conditional write. A write whose response was lost throws
 * {@link StoreUnavailableError} instead: the caller reads back to find out whether it took effect.
 *
 * @public
 */
export type PutResult =
  { kind: 'accepted'; version: number } | { kind: 'conflict'; current: StoredObject | undefined };

/**
 * A change reported by a watch. `value` is undefined if the object was deleted.
 *
 * @public
 */
export interface StoreChange {
  key: string;
  value: string | undefined;
  version: number;
}

/**
 * The platform's object store with versions, conditional updates and watches. It has outages, and a
 * write can take effect although its response is lost.
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
   * @throws StoreUnavailableError without a response: the write may or may not have taken effect
   */
  put(key: string, value: string, expectedVersion: number): Promise<PutResult>;
  /** Deletes if the object is still at `expectedVersion`. @throws StoreUnavailableError */
  delete(key: string, expectedVersion: number): Promise<PutResult>;
  /**
   * Waits in one long-polling call for changes under the prefix after a version; resolves with an
   * empty list when the platform's maximum wait has passed.
   *
   * @throws StoreUnavailableError
   */
  watch(prefix: string, afterVersion: number, signal?: AbortSignal): Promise<StoreChange[]>;
}

/**
 * The store did not respond: it is down, slower than the timeout, or the response was lost.
 *
 * @public
 */
export class StoreUnavailableError extends StepError {}
