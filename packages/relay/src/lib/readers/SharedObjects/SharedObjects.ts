import type { Clock, Milliseconds, Timer } from '@apricotrill/utils';

/** What a reader tells of the objects of one kind. */
export interface SharedState<Item> {
  /** Names the state told; what follows it can be asked for by it. */
  token: string;
  /** The revision of the store up to which the state is known. */
  revision: number;
  /** Whether `changes` are all objects; else they are those that changed since the token given. */
  isWhole: boolean;
  /** Name and object; null where it is gone. */
  changes: [string, Item | null][];
}

interface Wait {
  timer: Timer;
  end: () => void;
}

/** States of which the changes since are known; older ones are answered with all objects. */
const MOST_STATES = 64;

/** The objects of one kind as this daemon reads them, for daemons that don't read the store. */
export class SharedObjects<Item> {
  private items: ReadonlyMap<string, Item> = new Map();

  /** Which names changed, by the number of the state that the change made. */
  private readonly changed = new Map<number, string[]>();

  private number = 0;

  private readonly waits = new Set<Wait>();

  /**
   * @param epoch - differs between two lives of a daemon, so that no token of one means another's
   * @param getRevision - up to which the objects are known; undefined where the store gives this
   *   daemon no answer
   */
  constructor(
    private readonly clock: Clock,
    private readonly epoch: string,
    private readonly getRevision: () => number | undefined,
  ) {}

  /**
   * Takes over what is known now, and answers the daemons that wait for a change.
   *
   * @param items - not changed afterwards
   */
  update(items: ReadonlyMap<string, Item>): void {
    const names = new Set([...items.keys(), ...this.items.keys()]);
    const changed = [...names].filter((name) => items.get(name) !== this.items.get(name));
    this.items = items;
    if (changed.length === 0 && this.number > 0) {
      return;
    }
    this.number += 1;
    this.changed.set(this.number, changed);
    this.changed.delete(this.number - MOST_STATES);
    this.release();
  }

  /**
   * @param since - the token of what the asker knows; empty for nothing
   * @param wait - how long to wait for something newer
   * @returns undefined where the store gives this daemon no answer, so that it can't tell
   */
  async ask(since: string, wait: Milliseconds): Promise<SharedState<Item> | undefined> {
    if (since === this.token && this.getRevision() !== undefined) {
      await this.waitForChange(wait);
    }
    const revision = this.getRevision();
    if (revision === undefined || this.number === 0) {
      return undefined;
    }
    const names = this.getNamesSince(since);
    const told = names ?? [...this.items.keys()];
    return {
      token: this.token,
      revision,
      isWhole: names === undefined,
      changes: told.map((name) => [name, this.items.get(name) ?? null]),
    };
  }

  /** Ends all waits: something new is known, or nothing can be told any more. */
  release(): void {
    [...this.waits].forEach((wait) => wait.end());
  }

  private get token(): string {
    return `${this.epoch}.${this.number}`;
  }

  /** @returns undefined where all objects must be told */
  private getNamesSince(token: string): string[] | undefined {
    const [epoch, text] = token.split('.');
    const number = Number(text);
    const isKnown =
      epoch === this.epoch &&
      number <= this.number &&
      (number === this.number || this.changed.has(number + 1));
    if (!isKnown) {
      return undefined;
    }
    const names = new Set<string>();
    for (let next = number + 1; next <= this.number; next += 1) {
      this.changed.get(next)!.forEach((name) => names.add(name));
    }
    return [...names];
  }

  private waitForChange(wait: Milliseconds): Promise<void> {
    return new Promise((resolve) => {
      const entry: Wait = {
        timer: this.clock.setTimer(wait, () => entry.end()),
        end: () => {
          entry.timer.cancel();
          this.waits.delete(entry);
          resolve();
        },
      };
      this.waits.add(entry);
    });
  }
}
