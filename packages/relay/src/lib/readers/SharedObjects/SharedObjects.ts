import type { Clock, Milliseconds, Timer } from '@apricotrill/utils';
import type { StoreEra, StorePosition } from '../../follow/StateFollower/ObjectSource.js';

/** Response of a reader: the objects of one kind, or the changes since an earlier response. */
export interface SharedState<Item> {
  /** Identifies this state, to request the changes since it. */
  token: string;
  /** Revision of the store up to which the objects are known. */
  revision: number;
  /** Era of that revision. */
  era?: StoreEra;
  /** Whether `changes` contains all objects, rather than those changed since the given token. */
  isWhole: boolean;
  /** Names and objects; null for deleted ones. */
  changes: [string, Item | null][];
}

interface PendingQuery {
  timer: Timer;
  finish: () => void;
}

/** Number of past versions whose changes are kept; for older ones, all objects are sent. */
const MAX_VERSIONS = 64;

/** The objects of one kind as read by this daemon, for daemons that do not read the store. */
export class SharedObjects<Item> {
  private items: ReadonlyMap<string, Item> = new Map();

  /** Names of the changed objects, by the version that the change created. */
  private readonly changedNames = new Map<number, string[]>();

  private version = 0;

  private readonly pendingQueries = new Set<PendingQuery>();

  /**
   * @param epoch - differs after each restart of a daemon, so that tokens from before are invalid
   * @param getPosition - returns the position up to which the objects are known; undefined if this
   *   daemon cannot reach the store
   * @param getAge - returns the time since the objects were the current ones in the store
   */
  constructor(
    private readonly clock: Clock,
    private readonly epoch: string,
    private readonly getPosition: () => StorePosition | undefined,
    private readonly getAge: () => Milliseconds,
  ) {}

  /** Time since the objects were the current ones in the store. */
  get age(): Milliseconds {
    return this.getAge();
  }

  /**
   * Sets the current objects, and finishes pending queries if there is a change.
   *
   * @param items - must not be modified afterwards
   */
  update(items: ReadonlyMap<string, Item>): void {
    const names = new Set([...items.keys(), ...this.items.keys()]);
    const changed = [...names].filter((name) => items.get(name) !== this.items.get(name));
    this.items = items;
    if (changed.length === 0 && this.version > 0) {
      return;
    }
    this.version += 1;
    this.changedNames.set(this.version, changed);
    this.changedNames.delete(this.version - MAX_VERSIONS);
    this.finishPendingQueries();
  }

  /**
   * Returns the objects that have changed since an earlier state, or all objects.
   *
   * @param since - token of the last state known to the caller; empty if it knows none
   * @param wait - how long to wait for a change if the caller is up to date
   * @returns undefined if this daemon cannot reach the store, so that its state may be outdated
   */
  async getState(since: string, wait: Milliseconds): Promise<SharedState<Item> | undefined> {
    if (since === this.token && this.getPosition() !== undefined) {
      await this.waitForChange(wait);
    }
    const position = this.getPosition();
    if (position === undefined || this.version === 0) {
      return undefined;
    }
    const names = this.getNamesSince(since);
    const sent = names ?? [...this.items.keys()];
    return {
      token: this.token,
      ...position,
      isWhole: names === undefined,
      changes: sent.map((name) => [name, this.items.get(name) ?? null]),
    };
  }

  /** Finishes all pending queries, after a change or on shutdown. */
  finishPendingQueries(): void {
    [...this.pendingQueries].forEach((query) => query.finish());
  }

  private get token(): string {
    return `${this.epoch}.${this.version}`;
  }

  /** @returns undefined if all objects must be sent */
  private getNamesSince(token: string): string[] | undefined {
    const [epoch, text] = token.split('.');
    const version = Number(text);
    const isKnown =
      epoch === this.epoch &&
      version <= this.version &&
      (version === this.version || this.changedNames.has(version + 1));
    if (!isKnown) {
      return undefined;
    }
    const names = new Set<string>();
    for (let next = version + 1; next <= this.version; next += 1) {
      this.changedNames.get(next)!.forEach((name) => names.add(name));
    }
    return [...names];
  }

  private waitForChange(wait: Milliseconds): Promise<void> {
    return new Promise((resolve) => {
      const query: PendingQuery = {
        timer: this.clock.setTimer(wait, () => query.finish()),
        finish: () => {
          query.timer.cancel();
          this.pendingQueries.delete(query);
          resolve();
        },
      };
      this.pendingQueries.add(query);
    });
  }
}
