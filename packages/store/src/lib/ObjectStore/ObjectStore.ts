import type { Clock, Milliseconds } from '@apricotrill/utils';
import type { PutResult, StoreChange, StoredObject } from '../PlatformStore.js';

interface PendingWatch {
  prefix: string;
  afterVersion: number;
  resolve: (changes: StoreChange[]) => void;
}

function isStored(change: StoreChange): change is StoreChange & { value: string } {
  return change.value !== undefined;
}

/**
 * The platform's objects in memory, with one version counter for all writes, conditional updates
 * and waiting watches. A deleted object remains as a change without a value, so that a watch that
 * is started later still reports the deletion.
 *
 * @example
 * ```ts
 * const objects = new ObjectStore(clock);
 * objects.put('config/manifest', '{}', 0); // accepted: it did not exist
 * ```
 * @public
 */
export class ObjectStore {
  private lastVersion = 0;

  private readonly changes = new Map<string, StoreChange>();

  private readonly pendingWatches = new Set<PendingWatch>();

  constructor(private readonly clock: Clock) {}

  get(key: string): StoredObject | undefined {
    const change = this.changes.get(key);
    return change !== undefined && isStored(change) ? { ...change } : undefined;
  }

  /** The objects whose key starts with the prefix, sorted by key. */
  list(prefix: string): StoredObject[] {
    return [...this.changes.values()]
      .filter(isStored)
      .filter(({ key }) => key.startsWith(prefix))
      .sort((left, right) => (left.key < right.key ? -1 : 1));
  }

  /** Writes if the object is still at `expectedVersion` (0: it must not exist). */
  put(key: string, value: string, expectedVersion: number): PutResult {
    return this.change(key, value, expectedVersion);
  }

  /** Deletes if the object is still at `expectedVersion`. */
  delete(key: string, expectedVersion: number): PutResult {
    if (this.get(key) === undefined) {
      return { kind: 'conflict', current: undefined };
    }
    return this.change(key, undefined, expectedVersion);
  }

  /** The latest change of each object under the prefix after a version, oldest first. */
  getChanges(prefix: string, afterVersion: number): StoreChange[] {
    if (afterVersion >= this.lastVersion) {
      return [];
    }
    return [...this.changes.values()]
      .filter(({ key, version }) => version > afterVersion && key.startsWith(prefix))
      .sort((left, right) => left.version - right.version);
  }

  /**
   * Calls back once: as soon as there are changes after the version, or with an empty list after
   * `duration`.
   *
   * @returns a function that cancels the watch without calling back
   */
  watch(
    prefix: string,
    afterVersion: number,
    duration: Milliseconds,
    callback: (changes: StoreChange[]) => void,
  ): () => void {
    const changes = this.getChanges(prefix, afterVersion);
    if (changes.length > 0) {
      callback(changes);
      return () => {};
    }
    return this.waitForChange({ prefix, afterVersion }, duration, callback);
  }

  private waitForChange(
    watch: Omit<PendingWatch, 'resolve'>,
    duration: Milliseconds,
    callback: (changes: StoreChange[]) => void,
  ): () => void {
    const pendingWatch: PendingWatch = { ...watch, resolve: () => {} };
    const timer = this.clock.setTimer(duration, () => pendingWatch.resolve([]));
    const cancel = () => {
      timer.cancel();
      this.pendingWatches.delete(pendingWatch);
    };
    pendingWatch.resolve = (changes) => {
      cancel();
      callback(changes);
    };
    this.pendingWatches.add(pendingWatch);
    return cancel;
  }

  private change(key: string, value: string | undefined, expectedVersion: number): PutResult {
    const current = this.get(key);
    if ((current?.version ?? 0) !== expectedVersion) {
      return { kind: 'conflict', current };
    }
    this.lastVersion += 1;
    const change = { key, value, version: this.lastVersion };
    this.changes.set(key, change);
    this.notifyWatches(change);
    return { kind: 'accepted', version: change.version };
  }

  private notifyWatches(change: StoreChange): void {
    [...this.pendingWatches]
      .filter((pendingWatch) => change.key.startsWith(pendingWatch.prefix))
      .filter((pendingWatch) => change.version > pendingWatch.afterVersion)
      .forEach((pendingWatch) => pendingWatch.resolve([change]));
  }
}
