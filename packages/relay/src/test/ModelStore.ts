import type { Clock, Timer } from '@apricotrill/utils';
import type {
  ObjectChange,
  ObjectList,
  ObjectSource,
  WatchResult,
} from '../lib/follow/StateFollower/ObjectSource.js';

/** As the client of the store gives a watch up that is not answered in time. */
export const WATCH_TIMEOUT = 500;

interface Watch {
  revision: number;
  isSilent: boolean;
  end: (act: () => void) => void;
  resolve: (result: WatchResult<number>) => void;
  reject: (error: Error) => void;
}

/** A store as simple as can be: the oracle, and the source of what the follower hears. */
export class ModelStore implements ObjectSource<number> {
  readonly objects = new Map<string, number>();

  revision = 1;

  isAway = false;

  /** Lists show the store as it was this many changes ago. */
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
    [...this.watches].filter(({ isSilent }) => !isSilent).forEach((watch) => this.answer(watch));
  }

  compact(): void {
    this.history = [];
    this.historyStart = this.revision;
  }

  silenceWatches(): void {
    this.watches.forEach((watch) => Object.assign(watch, { isSilent: true }));
  }

  cutWatches(): void {
    [...this.watches].forEach((watch) => watch.end(() => watch.reject(new Error('cut'))));
  }

  list(): Promise<ObjectList<number>> {
    if (this.isAway) {
      return Promise.reject(new Error('away'));
    }
    const { items, revision } = this.snapshots.at(-1 - this.lag) ?? this.snapshots[0]!;
    return Promise.resolve({ items: new Map(items), revision });
  }

  watch(revision: number, wait: number, signal: AbortSignal): Promise<WatchResult<number>> {
    if (this.isAway) {
      return Promise.reject(new Error('away'));
    }
    return new Promise((resolve, reject) => {
      const timers: Timer[] = [];
      const watch: Watch = {
        revision,
        isSilent: false,
        resolve,
        reject,
        end: (act) => {
          timers.forEach((timer) => timer.cancel());
          this.watches.delete(watch);
          act();
        },
      };
      const giveUp = (reason: string) => watch.end(() => reject(new Error(reason)));
      timers.push(
        this.clock.setTimer(wait, () => !watch.isSilent && this.answer(watch, true)),
        this.clock.setTimer(wait + WATCH_TIMEOUT, () => giveUp('late')),
      );
      this.watches.add(watch);
      signal.addEventListener('abort', () => giveUp('aborted'));
      this.answer(watch);
    });
  }

  private answer(watch: Watch, isOver = false): void {
    if (watch.revision < this.historyStart) {
      watch.end(() => watch.resolve({ kind: 'history-expired' }));
      return;
    }
    const changes = this.history
      .filter(({ revision }) => revision > watch.revision)
      .map(({ change }) => change);
    if (changes.length > 0 || isOver) {
      const { revision } = this;
      watch.end(() => watch.resolve({ kind: 'changes', changes, revision }));
    }
  }
}
