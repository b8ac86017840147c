import type { Milliseconds } from '@apricotrill/utils';
import type { EngineState } from '../EngineClient/EngineClient.js';
import type { PlacementOptions } from '../placementOptions.js';

/** What the lease holder knows about one engine. */
interface EngineEntry {
  /** Undefined before the first observation and after a failed one. */
  state: EngineState | undefined;
  /** Whether the engine has been observed, successfully or not, since the last reset. */
  isObserved: boolean;
  /** Whether the state matched the desired one when it was observed. */
  isConverged: boolean;
  nextObservationAt: Milliseconds;
  /** Between the last observation and the next. */
  interval: Milliseconds;
  /** Since when the outcome of an order has been unknown. */
  unknownOutcomeSince: Milliseconds | undefined;
  /** Since when the engine has been loading its current models. */
  loadingSince: Milliseconds | undefined;
  /** No order is sent before this time, after orders without effect. */
  backOffUntil: Milliseconds;
  backOffDelay: Milliseconds;
}

type TableOptions = Pick<
  PlacementOptions,
  'observeChanging' | 'observeConverged' | 'changeTimeout'
>;

const NO_BACK_OFF = Number.NEGATIVE_INFINITY;

function getLoadingSince(entry: EngineEntry, state: EngineState, now: Milliseconds) {
  if (state.loading.length === 0) {
    return undefined;
  }
  const isSameLoad = entry.state?.loading.join() === state.loading.join();
  return isSameLoad ? entry.loadingSince : now;
}

/**
 * The states of a service's engines as the lease holder observed them, with the schedule of further
 * observations: frequent while an engine changes, and at doubling intervals while it is converged
 * or unreachable.
 *
 * @internal
 */
export class EngineTable {
  private readonly entries = new Map<string, EngineEntry>();

  constructor(private readonly options: TableOptions) {}

  /** Clears all entries: since an earlier lease, other holders may have changed the engines. */
  reset(ids: Iterable<string>, now: Milliseconds): void {
    this.entries.clear();
    this.track(ids, now);
  }

  /** Tracks exactly these engines from now on, keeping existing entries. */
  track(ids: Iterable<string>, now: Milliseconds): void {
    const trackedIds = new Set(ids);
    [...this.entries.keys()]
      .filter((id) => !trackedIds.has(id))
      .forEach((id) => this.entries.delete(id));
    [...trackedIds]
      .filter((id) => !this.entries.has(id))
      .forEach((id) => this.entries.set(id, this.createEntry(now)));
  }

  /** Makes an observation of the engine due now. */
  observeSoon(id: string, now: Milliseconds): void {
    const entry = this.entries.get(id);
    if (entry !== undefined) {
      entry.isConverged = false;
      entry.nextObservationAt = now;
      entry.interval = this.options.observeChanging;
    }
  }

  /** Engines due for observation, the longest overdue first. */
  getDue(now: Milliseconds): string[] {
    return [...this.entries]
      .filter(([, { nextObservationAt }]) => nextObservationAt <= now)
      .sort(([, left], [, right]) => left.nextObservationAt - right.nextObservationAt)
      .map(([id]) => id);
  }

  /** When the next observation is due; infinite when no engine is tracked. */
  getNextDue(): Milliseconds {
    let next = Number.POSITIVE_INFINITY;
    this.entries.forEach(({ nextObservationAt }) => {
      next = Math.min(next, nextObservationAt);
    });
    return next;
  }

  /** Whether every engine has been observed, successfully or not, since the last reset. */
  isFullyObserved(): boolean {
    return [...this.entries.values()].every(({ isObserved }) => isObserved);
  }

  /** Whether any reachable engine has not converged, so that planning is needed. */
  hasMismatch(): boolean {
    return [...this.entries.values()].some((entry) => entry.state && !entry.isConverged);
  }

  /** Records a state reported by an engine. */
  recordState(id: string, state: EngineState, isConverged: boolean, now: Milliseconds): void {
    const entry = this.entries.get(id);
    if (entry === undefined) {
      return;
    }
    entry.loadingSince = getLoadingSince(entry, state, now);
    entry.state = state;
    entry.isConverged = isConverged;
    entry.isObserved = true;
    entry.unknownOutcomeSince = undefined;
    this.schedule(entry, isConverged, now);
  }

  /**
   * Records a failed observation: the engine gets no orders and is observed at doubling intervals.
   *
   * @returns whether this is the first failure since the last success or reset
   */
  recordFailure(id: string, now: Milliseconds): boolean {
    const entry = this.entries.get(id);
    if (entry === undefined) {
      return false;
    }
    const isFirstFailure = entry.state !== undefined || !entry.isObserved;
    entry.state = undefined;
    entry.isObserved = true;
    this.schedule(entry, true, now);
    return isFirstFailure;
  }

  /** Records an order of unknown outcome: the engine gets no other order until it is observed. */
  recordUnknownOutcome(id: string, now: Milliseconds): void {
    const entry = this.entries.get(id);
    if (entry !== undefined) {
      entry.unknownOutcomeSince = now;
      this.observeSoon(id, now);
    }
  }

  /** Delays the next order after one without effect; the delay doubles each time. */
  backOff(id: string, now: Milliseconds): void {
    const entry = this.entries.get(id);
    if (entry !== undefined) {
      entry.backOffUntil = now + entry.backOffDelay;
      entry.backOffDelay = Math.min(2 * entry.backOffDelay, this.options.observeConverged);
    }
  }

  /** Resets the back-off delay after an order took effect. */
  resetBackOff(id: string): void {
    const entry = this.entries.get(id);
    if (entry !== undefined) {
      entry.backOffDelay = this.options.observeChanging;
    }
  }

  getState(id: string): EngineState | undefined {
    return this.entries.get(id)?.state;
  }

  /** The states of reachable engines. */
  getObserved(): Map<string, EngineState> {
    const observed = new Map<string, EngineState>();
    this.entries.forEach(({ state }, id) => {
      if (state !== undefined) {
        observed.set(id, state);
      }
    });
    return observed;
  }

  /** Engines with an order of unknown outcome, unless `changeTimeout` has passed since. */
  getPending(now: Milliseconds): Set<string> {
    return this.getIds(
      ({ unknownOutcomeSince }) =>
        unknownOutcomeSince !== undefined && !this.isTimedOut(unknownOutcomeSince, now),
    );
  }

  /** Engines that get no order and do not hold up others: in back-off, or loading too long. */
  getSuspended(now: Milliseconds): Set<string> {
    return this.getIds(
      ({ backOffUntil, loadingSince }) =>
        backOffUntil > now || (loadingSince !== undefined && this.isTimedOut(loadingSince, now)),
    );
  }

  private getIds(predicate: (entry: EngineEntry) => boolean): Set<string> {
    return new Set([...this.entries].filter(([, entry]) => predicate(entry)).map(([id]) => id));
  }

  private isTimedOut(since: Milliseconds, now: Milliseconds): boolean {
    return now - since >= this.options.changeTimeout;
  }

  private schedule(entry: EngineEntry, isSettled: boolean, now: Milliseconds): void {
    const { observeChanging, observeConverged } = this.options;
    const doubledInterval = Math.min(2 * entry.interval, observeConverged);
    const interval = isSettled ? doubledInterval : observeChanging;
    Object.assign(entry, { interval, nextObservationAt: now + interval });
  }

  private createEntry(now: Milliseconds): EngineEntry {
    const { observeChanging } = this.options;
    return {
      state: undefined,
      isObserved: false,
      isConverged: false,
      nextObservationAt: now,
      interval: observeChanging,
      unknownOutcomeSince: undefined,
      loadingSince: undefined,
      backOffUntil: NO_BACK_OFF,
      backOffDelay: observeChanging,
    };
  }
}
