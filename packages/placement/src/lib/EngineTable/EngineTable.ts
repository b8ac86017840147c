import type { Milliseconds } from '@apricotrill/utils';
import type { EngineState } from '../EngineClient/EngineClient.js';
import type { PlacementOptions } from '../placementOptions.js';

/** What a holder knows of one engine in its term. */
interface EngineEntry {
  /** Absent when the last look failed, or before the first. */
  state: EngineState | undefined;
  looked: boolean;
  /** Whether the state was as it should be when it was seen. */
  isConverged: boolean;
  nextLookAt: Milliseconds;
  /** Between the last look and the next. */
  interval: Milliseconds;
  /** Since when an order's fate isn't known. */
  unsureSince: Milliseconds | undefined;
  /** Since when the engine has been loading what it loads now. */
  loadingSince: Milliseconds | undefined;
  /** No order before this time, after orders that led to nothing. */
  restUntil: Milliseconds;
  rest: Milliseconds;
}

type TableOptions = Pick<
  PlacementOptions,
  'observeChanging' | 'observeConverged' | 'changeTimeout'
>;

const NEVER = Number.NEGATIVE_INFINITY;

function getLoadingSince(entry: EngineEntry, state: EngineState, now: Milliseconds) {
  if (state.loading.length === 0) {
    return undefined;
  }
  const isSame = entry.state?.loading.join() === state.loading.join();
  return isSame ? entry.loadingSince : now;
}

/**
 * What the holder of a service's lease knows of its engines, and when to look at each again: often
 * while an engine changes, ever more rarely while it is as it should be or can't be reached.
 *
 * @internal
 */
export class EngineTable {
  private readonly entries = new Map<string, EngineEntry>();

  constructor(private readonly options: TableOptions) {}

  /** Forgets everything: what was known in an earlier term may have been changed by others. */
  reset(ids: Iterable<string>, now: Milliseconds): void {
    this.entries.clear();
    this.track(ids, now);
  }

  /** Follows exactly these engines from now on, keeping what is known of them. */
  track(ids: Iterable<string>, now: Milliseconds): void {
    const kept = new Set(ids);
    [...this.entries.keys()].filter((id) => !kept.has(id)).forEach((id) => this.entries.delete(id));
    [...kept]
      .filter((id) => !this.entries.has(id))
      .forEach((id) => this.entries.set(id, this.createEntry(now)));
  }

  /** Looks at an engine as soon as can be. */
  lookSoon(id: string, now: Milliseconds): void {
    const entry = this.entries.get(id);
    if (entry !== undefined) {
      entry.isConverged = false;
      entry.nextLookAt = now;
      entry.interval = this.options.observeChanging;
    }
  }

  /** Engines to look at now, the longest overdue first. */
  getDue(now: Milliseconds): string[] {
    return [...this.entries]
      .filter(([, { nextLookAt }]) => nextLookAt <= now)
      .sort(([, left], [, right]) => left.nextLookAt - right.nextLookAt)
      .map(([id]) => id);
  }

  /** When the next engine is due; infinite when none is followed. */
  getNextDue(): Milliseconds {
    let next = Number.POSITIVE_INFINITY;
    this.entries.forEach(({ nextLookAt }) => {
      next = Math.min(next, nextLookAt);
    });
    return next;
  }

  /** Whether each engine was looked at in this term. */
  isComplete(): boolean {
    return [...this.entries.values()].every(({ looked }) => looked);
  }

  /** Whether some engine that can be reached is not as it should be, so that planning has a point. */
  hasMismatch(): boolean {
    return [...this.entries.values()].some((entry) => entry.state && !entry.isConverged);
  }

  /** An engine reported its state. */
  takeState(id: string, state: EngineState, isConverged: boolean, now: Milliseconds): void {
    const entry = this.entries.get(id);
    if (entry === undefined) {
      return;
    }
    entry.loadingSince = getLoadingSince(entry, state, now);
    entry.state = state;
    entry.isConverged = isConverged;
    entry.looked = true;
    entry.unsureSince = undefined;
    this.schedule(entry, isConverged, now);
  }

  /**
   * A look failed: the engine gets no orders, and is looked at ever more rarely.
   *
   * @returns whether this is news
   */
  takeFailure(id: string, now: Milliseconds): boolean {
    const entry = this.entries.get(id);
    if (entry === undefined) {
      return false;
    }
    const isNews = entry.state !== undefined || !entry.looked;
    entry.state = undefined;
    entry.looked = true;
    this.schedule(entry, true, now);
    return isNews;
  }

  /** An order's fate isn't known: no other order goes to the engine before a look at it. */
  markUnsure(id: string, now: Milliseconds): void {
    const entry = this.entries.get(id);
    if (entry !== undefined) {
      entry.unsureSince = now;
      this.lookSoon(id, now);
    }
  }

  /** An order led to nothing: the next one waits longer each time. */
  backOff(id: string, now: Milliseconds): void {
    const entry = this.entries.get(id);
    if (entry !== undefined) {
      entry.restUntil = now + entry.rest;
      entry.rest = Math.min(2 * entry.rest, this.options.observeConverged);
    }
  }

  /** An order was carried out. */
  endBackOff(id: string): void {
    const entry = this.entries.get(id);
    if (entry !== undefined) {
      entry.rest = this.options.observeChanging;
    }
  }

  getState(id: string): EngineState | undefined {
    return this.entries.get(id)?.state;
  }

  /** The states of engines that can be reached. */
  getObserved(): Map<string, EngineState> {
    const observed = new Map<string, EngineState>();
    this.entries.forEach(({ state }, id) => {
      if (state !== undefined) {
        observed.set(id, state);
      }
    });
    return observed;
  }

  /** Engines with an order of unknown fate, except where it was given too long ago. */
  getBusy(now: Milliseconds): Set<string> {
    return this.getIds(
      ({ unsureSince }) => unsureSince !== undefined && !this.isOver(unsureSince, now),
    );
  }

  /** Engines that get no order now and hold up no other: resting, or loading for far too long. */
  getResting(now: Milliseconds): Set<string> {
    return this.getIds(
      ({ restUntil, loadingSince }) =>
        restUntil > now || (loadingSince !== undefined && this.isOver(loadingSince, now)),
    );
  }

  private getIds(isMeant: (entry: EngineEntry) => boolean): Set<string> {
    return new Set([...this.entries].filter(([, entry]) => isMeant(entry)).map(([id]) => id));
  }

  private isOver(since: Milliseconds, now: Milliseconds): boolean {
    return now - since >= this.options.changeTimeout;
  }

  private schedule(entry: EngineEntry, isQuiet: boolean, now: Milliseconds): void {
    const { observeChanging, observeConverged } = this.options;
    const longer = Math.min(2 * entry.interval, observeConverged);
    const interval = isQuiet ? longer : observeChanging;
    Object.assign(entry, { interval, nextLookAt: now + interval });
  }

  private createEntry(now: Milliseconds): EngineEntry {
    const { observeChanging } = this.options;
    return {
      state: undefined,
      looked: false,
      isConverged: false,
      nextLookAt: now,
      interval: observeChanging,
      unsureSince: undefined,
      loadingSince: undefined,
      restUntil: NEVER,
      rest: observeChanging,
    };
  }
}
