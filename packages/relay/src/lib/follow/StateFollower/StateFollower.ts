import type { Clock, Milliseconds, Random } from '@apricotrill/utils';
import type { ObjectChange, ObjectSource, WatchResult } from './ObjectSource.js';

/** How the store is followed. */
export interface FollowOptions {
  /** How long one watch waits at the store. */
  watchWait: Milliseconds;
  /** The longest wait, where other daemons would tell of what this one's watch misses. */
  longestWait: Milliseconds;
  /** The shortest time from one watch to the next. */
  pace: Milliseconds;
  /** The first pause after a call that failed; it doubles up to the longest. */
  firstPause: Milliseconds;
  longestPause: Milliseconds;
  /**
   * How long an object that was deleted while the store was away is kept after its return: objects
   * that live write themselves again within two seconds.
   */
  returnGrace: Milliseconds;
}

/**
 * Pauses: a call a tenth of a second from every daemon is far below what the store takes, and twice
 * a second is enough while it is away. The watch is short, since a watch on a connection that went
 * silent is noticed when its time is over, and changes must be in force within two seconds.
 */
export const followOptions: FollowOptions = {
  watchWait: 2_000,
  // Each reader makes two calls a wait. A connection that went silent may be noticed only by its end.
  longestWait: 4_000,
  // When many replicas start at once, each of them would end a watch of its own: with 67 replicas
  // and 74 daemons some 5,000 calls in the first seconds, by calculation. A change after a quiet moment is still
  // heard at once.
  pace: 150,
  firstPause: 100,
  longestPause: 500,
  returnGrace: 2_500,
};

/** How long the first watch after an outage waits: the shortest that the store knows. */
const RETURN_WAIT: Milliseconds = 1;

/**
 * A second of wait for each so many daemons: one of them asks anew within a second of whatever
 * silenced all their watches at once, and tells the others.
 */
const DAEMONS_PER_SECOND = 8;

const SECOND: Milliseconds = 1_000;

/** A watch that is given up for another daemon's word has lasted this long, or it may be on its way. */
const LEAST_WATCH: Milliseconds = 1_000;

/** What a follower tells of the objects it follows. */
export interface FollowListener<Item> {
  /** All objects that are believed to exist, after each change. */
  onObjects(items: ReadonlyMap<string, Item>, revision: number): void;
  onLost(error: Error): void;
  onReconnected(after: Milliseconds): void;
  /** An object is kept although it was deleted, since the store had been away. */
  onRetained(name: string, until: Milliseconds): void;
}

/** What a follower is made of. */
export interface StateFollowerParts<Item> {
  source: ObjectSource<Item>;
  clock: Clock;
  random: Random;
  listener: FollowListener<Item>;
  options?: Partial<FollowOptions>;
}

/**
 * Follows the objects of one kind: lists them once, then watches for changes, and lists again when
 * the store has dropped its history. What was known stays known while the store is away. Revisions
 * only grow: an answer that is older than what is known changes nothing.
 */
export class StateFollower<Item> {
  private readonly parts: StateFollowerParts<Item>;

  private readonly options: FollowOptions;

  private readonly abort = new AbortController();

  private items = new Map<string, Item>();

  /** Objects that were deleted while the store was away, and until when they are kept. */
  private readonly kept = new Map<string, Milliseconds>();

  private revision: number | undefined;

  /** The revision at which the last change was heard. */
  private changedAt: number | undefined;

  /** The watch that waits. */
  private watching: { since: Milliseconds; abort: AbortController } | undefined;

  /** Another daemon has heard of a change that this one has not. */
  private isBehind = false;

  private wait: Milliseconds;

  /** When everything was last asked for. */
  private listedAt: Milliseconds = Number.NEGATIVE_INFINITY;

  private lostAt: Milliseconds | undefined;

  /** Deletions heard until then may be of objects that only lapsed. */
  private graceUntil: Milliseconds = 0;

  private pause: Milliseconds;

  constructor(parts: StateFollowerParts<Item>) {
    this.parts = parts;
    this.options = { ...followOptions, ...parts.options };
    this.pause = this.options.firstPause;
    this.wait = this.options.watchWait;
  }

  /** Follows until it is disposed. */
  async run(): Promise<void> {
    let mustList = true;
    while (!this.abort.signal.aborted) {
      try {
        // eslint-disable-next-line no-await-in-loop
        mustList = await this.step(mustList);
        this.noteAnswer();
      } catch (error) {
        // eslint-disable-next-line no-await-in-loop
        await this.noteError(error);
      }
    }
  }

  dispose(): void {
    this.abort.abort();
    this.watching?.abort.abort();
  }

  /** The revision of the last change, for other daemons. */
  get lastChangeRevision(): number | undefined {
    return this.changedAt;
  }

  /** The more daemons watch, the longer each may wait. */
  setDaemonCount(daemons: number): void {
    const { watchWait, longestWait } = this.options;
    const wait = (daemons / DAEMONS_PER_SECOND) * SECOND;
    this.wait = Math.min(longestWait, Math.max(watchWait, wait));
  }

  /**
   * Another daemon has heard of a change. What goes wrong without this: a watch on a connection that
   * went silent tells of nothing until its wait is over, and replicas that leave get requests for as
   * long.
   */
  recordPeerRevision(revision: number): void {
    const { watching } = this;
    if (this.revision === undefined || revision <= this.revision || watching === undefined) {
      return;
    }
    if (this.parts.clock.now() - watching.since >= LEAST_WATCH) {
      this.isBehind = true;
      watching.abort.abort();
    }
  }

  /** The objects that the store holds, without those that are kept though they were deleted. */
  get stored(): Map<string, Item> {
    return new Map([...this.items].filter(([name]) => !this.kept.has(name)));
  }

  /** The revision of the store up to which its objects are known; undefined before the first list. */
  get knownRevision(): number | undefined {
    return this.revision;
  }

  /** Whether the store answered the last call. */
  get isConnected(): boolean {
    return this.revision !== undefined && this.lostAt === undefined;
  }

  /** @returns whether everything must be listed next */
  private async step(mustList: boolean): Promise<boolean> {
    const { source } = this.parts;
    if (mustList || this.revision === undefined) {
      this.listedAt = this.parts.clock.now();
      const list = await source.list();
      this.markReturn();
      this.takeList(list.items, list.revision);
      return false;
    }
    // After an outage the first watch does not wait for a change: the return counts from the moment
    // of the return, or the next replica that leaves would be taken for one that lapsed.
    const mayWait = this.lostAt === undefined && !this.isBehind;
    const wait = mayWait ? this.getWait() : RETURN_WAIT;
    this.isBehind = false;
    const started = this.parts.clock.now();
    const result = await this.watch(this.revision, wait);
    if (result === undefined) {
      return false;
    }
    if (result.kind === 'history-expired') {
      // A list that lags behind the history leads here at once, and without a pause to the next.
      await this.rest(this.listedAt);
      return true;
    }
    this.markReturn();
    this.takeResult(result);
    await this.rest(started);
    return false;
  }

  private takeResult(result: Exclude<WatchResult<Item>, { kind: 'history-expired' }>): void {
    if (result.kind === 'list') {
      this.takeList(result.list.items, result.list.revision);
    } else if (result.revision >= (this.revision ?? 0)) {
      this.takeChanges(result.changes, result.revision);
    }
  }

  /** @returns undefined when it was given up for another daemon's word */
  private async watch(
    revision: number,
    wait: Milliseconds,
  ): Promise<WatchResult<Item> | undefined> {
    const abort = new AbortController();
    this.watching = { since: this.parts.clock.now(), abort };
    try {
      return await this.parts.source.watch(revision, wait, abort.signal);
    } catch (error) {
      if (this.isBehind) {
        return undefined;
      }
      throw error;
    } finally {
      this.watching = undefined;
    }
  }

  /** Long waits differ, so that the daemons' watches end one after the other. */
  private getWait(): Milliseconds {
    const { watchWait } = this.options;
    return this.wait <= watchWait
      ? watchWait
      : Math.round(this.wait * (0.75 + this.parts.random.next() / 2));
  }

  private takeList(listed: Map<string, Item>, revision: number): void {
    if (this.revision !== undefined && revision < this.revision) {
      return;
    }
    const gone = [...this.items.keys()].filter((name) => !listed.has(name));
    const changes: ObjectChange<Item>[] = gone.map((name) => ({ name, item: undefined }));
    listed.forEach((item, name) => changes.push({ name, item }));
    const isFirst = this.revision === undefined;
    this.takeChanges(changes, revision, isFirst);
  }

  private takeChanges(changes: ObjectChange<Item>[], revision: number, isFirst = false): void {
    this.revision = revision;
    const isChanged = changes.length > 0 || isFirst;
    if (isChanged) {
      this.changedAt = revision;
    }
    changes.forEach((change) => this.takeChange(change));
    if (isChanged) {
      this.tell();
    }
  }

  private takeChange({ name, item }: ObjectChange<Item>): void {
    if (item !== undefined) {
      this.kept.delete(name);
      this.items.set(name, item);
      return;
    }
    const now = this.parts.clock.now();
    if (now < this.graceUntil && this.items.has(name)) {
      this.keep(name, this.graceUntil);
      return;
    }
    this.items.delete(name);
  }

  private keep(name: string, until: Milliseconds): void {
    const { clock, listener } = this.parts;
    this.kept.set(name, until);
    listener.onRetained(name, until);
    clock.setTimer(until - clock.now(), () => {
      if (this.kept.get(name) === until) {
        this.kept.delete(name);
        this.items.delete(name);
        this.tell();
      }
    });
  }

  private tell(): void {
    if (!this.abort.signal.aborted) {
      this.parts.listener.onObjects(this.items, this.revision ?? 0);
    }
  }

  /** Called before what an answer brings is taken over. */
  private markReturn(): void {
    if (this.lostAt !== undefined) {
      this.graceUntil = this.parts.clock.now() + this.options.returnGrace;
    }
  }

  private noteAnswer(): void {
    this.pause = this.options.firstPause;
    if (this.lostAt !== undefined) {
      const after = this.parts.clock.now() - this.lostAt;
      this.lostAt = undefined;
      this.parts.listener.onReconnected(after);
    }
  }

  private async noteError(error: unknown): Promise<void> {
    if (this.abort.signal.aborted) {
      return;
    }
    const { clock, listener, random } = this.parts;
    if (this.lostAt === undefined) {
      this.lostAt = clock.now();
      listener.onLost(error instanceof Error ? error : new Error(String(error)));
    }
    const span = this.pause * (0.5 + random.next() / 2);
    this.pause = Math.min(this.options.longestPause, this.pause * 2);
    await this.sleep(span);
  }

  /** Lets changes that come close together gather, however short the watch was. */
  private async rest(started: Milliseconds): Promise<void> {
    const left = started + this.options.pace - this.parts.clock.now();
    if (left > 0) {
      await this.sleep(left);
    }
  }

  private sleep(span: Milliseconds): Promise<void> {
    return new Promise((resolve) => {
      this.parts.clock.setTimer(span, resolve);
    });
  }
}
