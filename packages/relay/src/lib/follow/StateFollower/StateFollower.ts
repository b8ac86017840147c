import { StepError } from '@apricotrill/utils';
import type { Clock, Milliseconds, Random, Timer } from '@apricotrill/utils';
import { DeletedObjects } from './DeletedObjects.js';
import { isLater } from './ObjectSource.js';
import type {
  ObjectChange,
  ObjectList,
  ObjectSource,
  StoreEra,
  StorePosition,
  WatchResult,
} from './ObjectSource.js';

/** Options of a state follower. */
export interface StateFollowerOptions {
  /** How long a watch waits at the store in a small fleet. */
  minWatchWait: Milliseconds;
  /** Upper limit of the wait, which grows with the number of daemons. */
  maxWatchWait: Milliseconds;
  /** Minimum time between the starts of two watches. */
  minWatchInterval: Milliseconds;
  /** Delay after the first failed call; it doubles with each further one, up to `maxRetryDelay`. */
  minRetryDelay: Milliseconds;
  maxRetryDelay: Milliseconds;
  /**
   * Upper limit of the delay after which the objects are reported again, if the listener could not
   * handle them. It begins with `minRetryDelay` and doubles with each error.
   */
  maxReportDelay: Milliseconds;
  /**
   * How long objects that were deleted during an outage of the store are retained after it. The
   * owners of objects that still exist write them again within two seconds.
   */
  reconnectGrace: Milliseconds;
  /**
   * How long an object that was deleted before the store came back from an older copy is ignored
   * after that, unless it is written again. The store deletes the entries of replicas that are gone
   * once they have missed three heartbeats.
   */
  restoredObjectDelay: Milliseconds;
  /** How long deletions are remembered, which exceeds the age of a copy of the store. */
  deletionRetention: Milliseconds;
}

/**
 * A call every 100 ms from each daemon is far below the capacity of the store, and one every 500 ms
 * is enough during an outage. Watches are short because one on a dead connection is noticed only when
 * its wait is over, and changes must be in force within two seconds.
 */
export const defaultStateFollowerOptions: StateFollowerOptions = {
  minWatchWait: 2_000,
  // Each reader makes two calls per wait. A dead connection may be noticed only at the end of a wait.
  maxWatchWait: 4_000,
  // When many replicas start together, each new entry would end a watch: with 67 replicas and 74
  // daemons, that would be some 5,000 calls in the first seconds. A change after a quiet period is
  // still received at once.
  minWatchInterval: 150,
  minRetryDelay: 100,
  maxRetryDelay: 500,
  maxReportDelay: 5_000,
  reconnectGrace: 2_500,
  restoredObjectDelay: 5_000,
  deletionRetention: 120_000,
};

/** Wait of a watch that is to return at once; this is the shortest that the store supports. */
const RECONNECT_WATCH_WAIT: Milliseconds = 1;

/**
 * The wait of a watch grows by a second for each of this many daemons. If all watches go silent at
 * once, one daemon still calls the store again within a second and informs the others.
 */
const DAEMONS_PER_SECOND = 8;

const MILLISECONDS_PER_SECOND: Milliseconds = 1_000;

/**
 * How long a watch must have received nothing to be aborted because another daemon knows a newer
 * revision. Otherwise the response may be the one that brings it.
 */
const MIN_ABORTED_WATCH_SILENCE: Milliseconds = 1_000;

/** How long a watch must have received nothing to be aborted because the objects must be confirmed. */
const MIN_REFRESH_INTERVAL: Milliseconds = 100;

/** The same if the other daemon knows a later era, of which the watch may report nothing. */
const MIN_OUTDATED_WATCH_SILENCE: Milliseconds = 200;

/** A change of the store's era, and how far the objects of the previous era were known. */
export interface EraChange {
  era: number;
  previous: StoreEra;
  knownRevision: number | undefined;
}

/** Receives changes of the followed objects and of the connection to the store. */
export interface StateListener<Item> {
  /** Called after each change with all objects that are assumed to exist. */
  onObjects(items: ReadonlyMap<string, Item>, revision: number): void;
  onLost(error: Error): void;
  /** @param outage - time since the first failed call */
  onReconnected(outage: Milliseconds): void;
  /** Called when the era of the store differs from the last one. */
  onEraChanged(change: EraChange): void;
  /** Called after each response, when its changes have been applied. */
  onRead(): void;
  /** Called when a watch is aborted because another daemon knows a newer revision. */
  onWatchAborted(silence: Milliseconds, known: StorePosition, announced: StorePosition): void;
  /** Called when a deleted object is retained because of an outage of the store. */
  onRetained(name: string, until: Milliseconds): void;
  /** Called with an error of another callback, after which the follower goes on. */
  onFault(error: unknown): void;
}

/** Settings of a state follower. */
export interface StateFollowerSettings<Item> {
  source: ObjectSource<Item>;
  clock: Clock;
  random: Random;
  listener: StateListener<Item>;
  options?: Partial<StateFollowerOptions>;
}

/**
 * Follows the objects of one kind: lists them once, then watches for changes, and lists them again
 * if the store has dropped its history. The known objects are kept during an outage of the store.
 * Responses that are older than the known state are ignored. Revisions are compared within an era of
 * the store: the first response of a later era is followed by a list, whatever its revision.
 *
 * An error of the listener neither ends the follower nor the handling of a response. Objects that the
 * listener could not handle are reported again after a while.
 */
export class StateFollower<Item> {
  private readonly settings: StateFollowerSettings<Item>;

  private readonly options: StateFollowerOptions;

  private readonly abortController = new AbortController();

  private items = new Map<string, Item>();

  /** Deleted objects that are retained after an outage, with the time at which each expires. */
  private readonly retained = new Map<string, Milliseconds>();

  private revision: number | undefined;

  private era: StoreEra;

  /** Revision of the last response that contained a change. */
  private lastChange: number | undefined;

  private readonly deletedObjects: DeletedObjects<Item>;

  /** The watch in flight. */
  private activeWatch: { progressAt: Milliseconds; abort: AbortController } | undefined;

  /** Whether another daemon knows a newer revision, so that the active watch was aborted. */
  private isBehind = false;

  private watchWait: Milliseconds;

  /** Start of the last call that listed all objects. */
  private listedAt: Milliseconds = Number.NEGATIVE_INFINITY;

  private disconnectedAt: Milliseconds | undefined;

  /** Until this time, a deletion may only mean that an entry expired during the outage. */
  private graceUntil: Milliseconds = 0;

  private retryDelay: Milliseconds;

  /** Reports the objects again after an error of the listener. */
  private reportTimer: Timer | undefined;

  private reportDelay: Milliseconds;

  constructor(settings: StateFollowerSettings<Item>) {
    this.settings = settings;
    this.options = { ...defaultStateFollowerOptions, ...settings.options };
    this.deletedObjects = new DeletedObjects(this.options.deletionRetention);
    this.retryDelay = this.options.minRetryDelay;
    this.reportDelay = this.options.minRetryDelay;
    this.watchWait = this.options.minWatchWait;
  }

  /** Follows the objects until the follower is disposed. */
  async run(): Promise<void> {
    let mustList = true;
    while (!this.abortController.signal.aborted) {
      try {
        // eslint-disable-next-line no-await-in-loop
        mustList = await this.poll(mustList);
      } catch (error) {
        // eslint-disable-next-line no-await-in-loop
        await this.handleError(error);
      }
    }
  }

  dispose(): void {
    this.abortController.abort();
    this.activeWatch?.abort.abort();
    this.reportTimer?.cancel();
  }

  /** Position of the last change, which this daemon announces to its peers. */
  get lastChangePosition(): StorePosition | undefined {
    return this.lastChange === undefined ? undefined : { era: this.era, revision: this.lastChange };
  }

  /** Adapts the wait of watches to the number of daemons that follow the store. */
  setDaemonCount(daemons: number): void {
    const { minWatchWait, maxWatchWait } = this.options;
    const wait = (daemons / DAEMONS_PER_SECOND) * MILLISECONDS_PER_SECOND;
    this.watchWait = Math.min(maxWatchWait, Math.max(minWatchWait, wait));
  }

  /**
   * Records the position of a change that another daemon knows of, and aborts the watch if it should
   * have reported that change. Otherwise a watch on a dead connection would report nothing until its
   * wait is over, and replicas that leave would be sent requests until then.
   */
  recordPeerPosition(position: StorePosition): void {
    const { activeWatch, era, revision } = this;
    if (revision === undefined || activeWatch === undefined) {
      return;
    }
    if (!isLater(position, { era, revision })) {
      return;
    }
    const isLaterEra = this.isLaterEra(position.era);
    const minSilence = isLaterEra ? MIN_OUTDATED_WATCH_SILENCE : MIN_ABORTED_WATCH_SILENCE;
    const silence = this.settings.clock.now() - activeWatch.progressAt;
    if (silence >= minSilence) {
      this.isBehind = true;
      this.notify((listener) => listener.onWatchAborted(silence, { era, revision }, position));
      activeWatch.abort.abort();
    }
  }

  /**
   * Reads the source again at once, unless a call has just begun or its response is arriving.
   */
  refresh(): void {
    const { activeWatch } = this;
    const { clock } = this.settings;
    if (activeWatch !== undefined && clock.now() - activeWatch.progressAt >= MIN_REFRESH_INTERVAL) {
      this.isBehind = true;
      activeWatch.abort.abort();
    }
  }

  /** The objects in the store, without deleted ones that are retained. */
  get stored(): Map<string, Item> {
    return new Map([...this.items].filter(([name]) => !this.retained.has(name)));
  }

  /** Position up to which the objects of the store are known; undefined before the first list. */
  get knownPosition(): StorePosition | undefined {
    return this.revision === undefined ? undefined : { era: this.era, revision: this.revision };
  }

  /** Whether the last call to the store succeeded. */
  get isConnected(): boolean {
    return this.revision !== undefined && this.disconnectedAt === undefined;
  }

  /** @returns whether all objects must be listed next */
  private async poll(mustList: boolean): Promise<boolean> {
    const { source } = this.settings;
    if (mustList || this.revision === undefined) {
      this.listedAt = this.settings.clock.now();
      const list = await source.list();
      this.startReconnectGrace();
      this.applyList(list);
      this.handleSuccess();
      return false;
    }
    // The first watch after an outage does not wait for a change, so that the end of the outage is
    // noticed at once. Otherwise, the next replica that leaves would be treated as one whose
    // entry expired during the outage.
    const isCaughtUp = this.disconnectedAt === undefined && !this.isBehind;
    const wait = isCaughtUp ? this.getWatchWait() : RECONNECT_WATCH_WAIT;
    this.isBehind = false;
    const startedAt = this.settings.clock.now();
    const result = await this.watch(this.revision, wait);
    if (result === undefined) {
      return false;
    }
    if (result.kind === 'history-expired' || this.isOutdatedBy(result)) {
      // If lists lag behind the history, the watch after a list expires at once; without this pause,
      // lists and watches would alternate as fast as the store responds.
      await this.waitForInterval(this.listedAt);
      this.handleSuccess();
      return true;
    }
    this.startReconnectGrace();
    this.applyResult(result);
    this.handleSuccess();
    await this.waitForInterval(startedAt);
    return false;
  }

  private isLaterEra(era: StoreEra): boolean {
    return era !== undefined && this.era !== undefined && era > this.era;
  }

  /**
   * Whether the store was restored since the known state. Its changes are then relative to a state that
   * may differ from the known one, even if the store has given out the known revision again.
   */
  private isOutdatedBy(result: Exclude<WatchResult<Item>, { kind: 'history-expired' }>): boolean {
    return result.kind === 'changes' && this.isLaterEra(result.era);
  }

  /** @throws StepError for a response of an earlier era, which may come from another part of the store */
  private checkEra(era: StoreEra): void {
    if (era !== undefined && this.era !== undefined && era < this.era) {
      const message = `response of era ${era}, after era ${this.era}`;
      throw new StepError(message, { step: 'read', peer: 'store' });
    }
  }

  /** Starts a new era, in which objects can be missing until they have been written again. */
  private startEra(era: number): void {
    const { era: previous, revision: knownRevision } = this;
    this.era = era;
    if (previous !== undefined) {
      this.graceUntil = this.settings.clock.now() + this.options.reconnectGrace;
    }
    this.notify((listener) => listener.onEraChanged({ era, previous, knownRevision }));
  }

  private applyResult(result: Exclude<WatchResult<Item>, { kind: 'history-expired' }>): void {
    if (result.kind === 'list') {
      this.applyList(result.list);
      return;
    }
    this.checkEra(result.era);
    if (result.revision >= (this.revision ?? 0)) {
      this.applyChanges(result.changes, result.revision);
    }
  }

  /** @returns undefined if the watch was aborted because another daemon knows a newer revision */
  private async watch(
    revision: number,
    wait: Milliseconds,
  ): Promise<WatchResult<Item> | undefined> {
    const { clock, source } = this.settings;
    const activeWatch = { progressAt: clock.now(), abort: new AbortController() };
    this.activeWatch = activeWatch;
    try {
      return await source.watch(revision, wait, activeWatch.abort.signal, () => {
        activeWatch.progressAt = clock.now();
      });
    } catch (error) {
      if (this.isBehind) {
        return undefined;
      }
      throw error;
    } finally {
      this.activeWatch = undefined;
    }
  }

  /** Randomizes long waits so that the watches of the daemons do not end at the same time. */
  private getWatchWait(): Milliseconds {
    const { minWatchWait } = this.options;
    return this.watchWait <= minWatchWait
      ? minWatchWait
      : Math.round(this.watchWait * (0.75 + this.settings.random.next() / 2));
  }

  private applyList({ items: listed, revision, era }: ObjectList<Item>): void {
    this.checkEra(era);
    const isFirst = this.revision === undefined;
    const isRestored = this.isLaterEra(era);
    if (!isFirst && !isRestored && revision < this.revision!) {
      return;
    }
    if (era !== undefined && era !== this.era) {
      this.startEra(era);
    }
    this.updateSuppressed(listed, isRestored);
    const deleted = [...this.items.keys()].filter((name) => !listed.has(name));
    const changes: ObjectChange<Item>[] = deleted.map((name) => ({ name, item: undefined }));
    listed.forEach((item, name) => {
      if (!this.deletedObjects.isSuppressed(name)) {
        changes.push({ name, item });
      }
    });
    this.applyChanges(changes, revision, isFirst || isRestored);
  }

  /**
   * Suppresses objects of a restored store that were deleted before. They are used only if they still
   * exist after a while.
   */
  private updateSuppressed(listed: ReadonlyMap<string, Item>, isRestored: boolean): void {
    if (!isRestored) {
      this.deletedObjects.retain(listed);
      return;
    }
    const { clock } = this.settings;
    const { era } = this;
    this.deletedObjects.suppress(listed, clock.now());
    clock.setTimer(this.options.restoredObjectDelay, () => {
      if (this.era === era) {
        this.releaseSuppressed();
      }
    });
  }

  private releaseSuppressed(): void {
    const released = this.deletedObjects.release();
    if (released.length > 0) {
      released.forEach(([name, item]) => this.items.set(name, item));
      this.reportObjects();
    }
  }

  private applyChanges(changes: ObjectChange<Item>[], revision: number, isFirst = false): void {
    this.revision = revision;
    const isChanged = changes.length > 0 || isFirst;
    if (isChanged) {
      this.lastChange = revision;
    }
    changes.forEach((change) => this.applyChange(change));
    if (isChanged) {
      this.reportObjects();
    }
  }

  private applyChange({ name, item }: ObjectChange<Item>): void {
    this.deletedObjects.recordChange(name, item === undefined);
    if (item !== undefined) {
      this.retained.delete(name);
      this.items.set(name, item);
      return;
    }
    const now = this.settings.clock.now();
    if (now < this.graceUntil && this.items.has(name)) {
      this.retain(name, this.graceUntil);
      return;
    }
    this.delete(name);
  }

  private delete(name: string): void {
    if (this.items.delete(name)) {
      this.deletedObjects.recordDeletion(name, this.settings.clock.now());
    }
  }

  private retain(name: string, until: Milliseconds): void {
    const { clock } = this.settings;
    this.retained.set(name, until);
    this.notify((listener) => listener.onRetained(name, until));
    clock.setTimer(until - clock.now(), () => {
      if (this.retained.get(name) === until) {
        this.retained.delete(name);
        this.delete(name);
        this.reportObjects();
      }
    });
  }

  private reportObjects(): void {
    this.reportTimer?.cancel();
    if (this.abortController.signal.aborted) {
      return;
    }
    if (this.notify((listener) => listener.onObjects(this.items, this.revision ?? 0))) {
      this.reportDelay = this.options.minRetryDelay;
      return;
    }
    const { clock, random } = this.settings;
    const delay = this.reportDelay * (0.5 + random.next() / 2);
    this.reportDelay = Math.min(this.options.maxReportDelay, this.reportDelay * 2);
    this.reportTimer = clock.setTimer(delay, () => this.reportObjects());
  }

  /** @returns whether the listener handled the call without an error */
  private notify(call: (listener: StateListener<Item>) => void): boolean {
    const { listener } = this.settings;
    try {
      call(listener);
      return true;
    } catch (error) {
      listener.onFault(error);
      return false;
    }
  }

  /**
   * Starts the grace period if this response ends an outage; called before the response is applied.
   */
  private startReconnectGrace(): void {
    if (this.disconnectedAt !== undefined) {
      this.graceUntil = this.settings.clock.now() + this.options.reconnectGrace;
    }
  }

  private handleSuccess(): void {
    this.retryDelay = this.options.minRetryDelay;
    if (this.disconnectedAt !== undefined) {
      const outage = this.settings.clock.now() - this.disconnectedAt;
      this.disconnectedAt = undefined;
      this.notify((listener) => listener.onReconnected(outage));
    }
    this.notify((listener) => listener.onRead());
  }

  private async handleError(error: unknown): Promise<void> {
    if (this.abortController.signal.aborted) {
      return;
    }
    const { clock, random } = this.settings;
    if (this.disconnectedAt === undefined) {
      this.disconnectedAt = clock.now();
      const reason = error instanceof Error ? error : new Error(String(error));
      this.notify((listener) => listener.onLost(reason));
    }
    const delay = this.retryDelay * (0.5 + random.next() / 2);
    this.retryDelay = Math.min(this.options.maxRetryDelay, this.retryDelay * 2);
    await this.sleep(delay);
  }

  /** Waits for the minimum interval between watches, so that changes in quick succession are combined. */
  private async waitForInterval(startedAt: Milliseconds): Promise<void> {
    const remaining = startedAt + this.options.minWatchInterval - this.settings.clock.now();
    if (remaining > 0) {
      await this.sleep(remaining);
    }
  }

  private sleep(duration: Milliseconds): Promise<void> {
    return new Promise((resolve) => {
      this.settings.clock.setTimer(duration, resolve);
    });
  }
}
