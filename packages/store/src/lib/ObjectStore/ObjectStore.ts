import type { Clock, Milliseconds } from '@apricotrill/utils';
import type { PutResult, StoreChange, StoredObject } from '../PlatformStore.js';

interface Waiter {
  prefix: string;
  afterVersion: number;
  finish: (changes: StoreChange[]) => void;
}

function isStored(change: StoreChange): change is StoreChange & { value: string } {
  return change.value !== undefined;
}

/**
 * The platform's objects in memory, with one version counter for all writes, conditional updates
 * and waiting watches. Deleted objects stay behind as changes without a value, so that a watch
 * that was away still learns of them.
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

  private readonly waiters = new Set<Waiter>();

  constructor(private readonly clock: Clock) {}

  get(key: string): StoredObject | undefined {
    const change = this.changes.get(key);
    return change !== undefined && isStored(change) ? { ...change } : undefined;
  }

  /** The objects whose key starts with the prefix, by key. */
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

  /** The last change of each object under the prefix after a version, oldest first. */
  getChanges(prefix: string, afterVersion: number): StoreChange[] {
    if (afterVersion >= this.lastVersion) {
      return [];
    }
    return [...this.changes.values()]
      .filter(({ key, version }) => version > afterVersion && key.startsWith(prefix))
      .sort((left, right) => left.version - right.version);
  }

  /**
   * Calls back once: as soon as there are changes after the version, or with none when `wait` is
   * over.
   *
   * @returns a function that calls the watch off without an answer
   */
  watch(
    prefix: string,
    afterVersion: number,
    wait: Milliseconds,
    onAnswer: (changes: StoreChange[]) => void,
  ): () => void {
    const changes = this.getChanges(prefix, afterVersion);
    if (changes.length > 0) {
      onAnswer(changes);
      return () => {};
    }
    return this.wait({ prefix, afterVersion }, wait, onAnswer);
  }

  private wait(
    awaited: Omit<Waiter, 'finish'>,
    span: Milliseconds,
    onAnswer: (changes: StoreChange[]) => void,
  ): () => void {
    const waiter: Waiter = { ...awaited, finish: () => {} };
    const timer = this.clock.setTimer(span, () => waiter.finish([]));
    const callOff = () => {
      timer.cancel();
      this.waiters.delete(waiter);
    };
    waiter.finish = (changes) => {
      callOff();
      onAnswer(changes);
    };
    this.waiters.add(waiter);
    return callOff;
  }

  private change(key: string, value: string | undefined, expectedVersion: number): PutResult {
    const current = this.get(key);
    if ((current?.version ?? 0) !== expectedVersion) {
      return { kind: 'conflict', current };
    }
    this.lastVersion += 1;
    const change = { key, value, version: this.lastVersion };
    this.changes.set(key, change);
    this.wake(change);
    return { kind: 'accepted', version: change.version };
  }

  private wake(change: StoreChange): void {
    [...this.waiters]
      .filter((waiter) => change.key.startsWith(waiter.prefix))
      .filter((waiter) => change.version > waiter.afterVersion)
      .forEach((waiter) => waiter.finish([change]));
  }
}
