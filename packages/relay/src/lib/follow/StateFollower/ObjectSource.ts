import type { Milliseconds } from '@apricotrill/utils';

/** A change of one object in the store. */
export interface ObjectChange<Item> {
  name: string;
  /** Absent when the object was deleted. */
  item: Item | undefined;
}

/** All objects of a kind, as of a revision of the store. */
export interface ObjectList<Item> {
  items: Map<string, Item>;
  revision: number;
}

/** What a watch brought. */
export type WatchResult<Item> =
  | { kind: 'changes'; changes: ObjectChange<Item>[]; revision: number }
  /** All objects anew, as a daemon tells them that knows nothing of what came since the revision. */
  | { kind: 'list'; list: ObjectList<Item> }
  /** The store no longer knows what came after the revision: everything must be listed again. */
  | { kind: 'history-expired' };

/**
 * One kind of objects in the platform's store.
 *
 * @public
 */
export interface ObjectSource<Item> {
  /** @throws StepError when no whole answer came */
  list(): Promise<ObjectList<Item>>;
  /**
   * Waits for changes after a revision; ends without any when the wait is over.
   *
   * @throws StepError when no whole answer came
   */
  watch(revision: number, wait: Milliseconds, signal: AbortSignal): Promise<WatchResult<Item>>;
}
