import type { Clock, Timer } from '@apricotrill/utils';
import type {
  ObjectChange,
  ObjectList,
  ObjectSource,
  WatchResult,
} from '../lib/follow/StateFollower/ObjectSource.js';

/** Time after the wait of a watch at which the client gives up on a response. */
export const WATCH_TIMEOUT = 500;

interface Watch {
  revision: number;
  isSilent: boolean;
  finish: (settle: () => void) => void;
  resolve: (result: WatchResult<number>) => void;
  reject: (error: Error) => void;
}

/** A minimal store with faults. It is the source of a follower, and the oracle for its state. */
export class ModelStore implements ObjectSource<number> {
  readonly objects = new Map<string, number>();

  revision = 1;

  era = 1;

  isUnavailable = false;

  /** Number of changes by which lists lag behind. */
  lag = 0;

  private history: { revision: number; change: ObjectChange<number> }[] = [];

  private historyStart = 1;

  private snapshots: ObjectList<number>[] = [{ items: new Map(), revision: 1 }];

  private readonly watches = new Set<Watch>();

  constructor(private readonly clock: Clock) {}

  write(name: string, item: number | undefined): void {
    if (item === undefined && !this.objects.has(name)) {
      return;
    }
    this.revision += 1;
    if (item === undefined) {
      this.objects.delete(name);
    } else {
      this.objects.set(name, item);
    }
    this.history.push({ revision: this.revision, change: { name, item } });
    this.snapshots.push({ items: new Map(this.objects), revision: this.revision });
    [...this.watches].filter(({ isSilent }) => !isSilent).forEach((watch) => this.respond(watch));
  }

  /** Goes back to the state before the last changes; their revisions are given out again. */
  restore(lostChanges: number): void {
    const kept = Math.max(1, this.snapshots.length - lostChanges);
    this.snapshots = this.snapshots.slice(0, kept);
    const { items, revision } = this.snapshots.at(-1)!;
    this.objects.clear();
    items.forEach((item, name) => this.objects.set(name, item));
    this.revision = revision;
    this.history = this.history.filter((entry) => entry.revision <= revision);
    this.historyStart = Math.min(this.historyStart, revision);
    this.era += 1;
    this.cutWatches();
  }

  compact(): void {
    this.history = [];
    this.historyStart = this.revision;
  }

  silenceWatches(): void {
    this.watches.forEach((watch) => Object.assign(watch, { isSilent: true }));
  }

  cutWatches(): void {
    [...this.watches].forEach((watch) => watch.finish(() => watch.reject(new Error('cut'))));
  }

  list(): Promise<ObjectList<number>> {
    if (this.isUnavailable) {
      return Promise.reject(new Error('store unavailable'));
    }
    const { items, revision } = this.snapshots.at(-1 - this.lag) ?? this.snapshots[0]!;
    return Promise.resolve({ items: new Map(items), revision, era: this.era });
  }

  watch(revision: number, wait: number, signal: AbortSignal): Promise<WatchResult<number>> {
    if (this.isUnavailable) {
      return Promise.reject(new Error('store unavailable'));
    }
    return new Promise((resolve, reject) => {
      const timers: Timer[] = [];
      const watch: Watch = {
        revision,
        isSilent: false,
        resolve,
        reject,
        finish: (settle) => {
          timers.forEach((timer) => timer.cancel());
          this.watches.delete(watch);
          settle();
        },
      };
      const giveUp = (reason: string) => watch.finish(() => reject(new Error(reason)));
      timers.push(
        this.clock.setTimer(wait, () => !watch.isSilent && this.respond(watch, true)),
        this.clock.setTimer(wait + WATCH_TIMEOUT, () => giveUp('late')),
      );
      this.watches.add(watch);
      signal.addEventListener('abort', () => giveUp('aborted'));
      this.respond(watch);
    });
  }

  private respond(watch: Watch, isOver = false): void {
    if (watch.revision < this.historyStart || watch.revision > this.revision) {
      watch.finish(() => watch.resolve({ kind: 'history-expired', era: this.era }));
      return;
    }
    const changes = this.history
      .filter(({ revision }) => revision > watch.revision)
      .map(({ change }) => change);
    if (changes.length > 0 || isOver) {
      const { era, revision } = this;
      watch.finish(() => watch.resolve({ kind: 'changes', changes, revision, era }));
    }
  }
}
