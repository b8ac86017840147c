import type { Milliseconds } from '@apricotrill/utils';
import type { PolicyOptions } from '../policyOptions.js';
import { getMedian, LatencyWindow } from './LatencyWindow.js';
import type { ReplicaPool } from './ReplicaPool.js';
import type { ReplicaState } from './ReplicaState.js';

/** The delays that are measured for each attempt. */
export enum DelayKind {
  FirstToken = 'first-token',
  TokenGap = 'token-gap',
}

/** Number of measurements from which the median delay of a class is computed. */
const CLASS_WINDOW_SIZE = 63;

/** How many measurements of a class may be added before its median is recomputed. */
const MAX_ADDED_SINCE_CLASS_MEDIAN = 7;

/** Minimum number of measurements of a class before its delays are normalized. */
const MIN_CLASS_SAMPLES = 8;

/** Minimum interval between two comparisons of a replica with its peers. */
const COMPARISON_INTERVAL_MS: Milliseconds = 200;

/** Maximum number of replicas in a comparison. */
const MAX_COMPARED_REPLICAS = 32;

/** Minimum number of replicas in a comparison: of two, either could be the slow one. */
const MIN_COMPARED_REPLICAS = 3;

/** Minimum number of probes before a straggler can be considered recovered. */
const MIN_RECOVERY_PROBES = 3;

/** How the classification of a replica changes. */
export enum StragglerVerdict {
  Unchanged = 'unchanged',
  Straggling = 'convicted',
  Recovered = 'acquitted',
}

type StragglerOptions = Pick<
  PolicyOptions,
  | 'stragglerFactor'
  | 'recoveryFactor'
  | 'minStragglerExcess'
  | 'minStragglerSamples'
  | 'maxStragglerRatio'
>;

function getWindow(state: ReplicaState, delay: DelayKind): LatencyWindow {
  return delay === DelayKind.FirstToken ? state.firstTokenDelays : state.tokenGapDelays;
}

/**
 * Detects replicas that are much slower than their peers from the delays that this daemon observes
 * itself, since the load report of a straggler does not show it. Each delay is divided by the
 * median of its class, so that a replica that happens to get the long prompts is not considered
 * slow. Medians are compared, so that a single outlier has no effect either. A straggler receives
 * occasional probes and is used again once its probes are as fast as its peers. Only part of a pool
 * may be marked as stragglers at once: if all replicas are slow, the cause lies elsewhere.
 *
 * @internal
 */
export class StragglerDetector {
  private readonly options: StragglerOptions;

  private readonly pool: ReplicaPool;

  private readonly classWindows = new Map<string, LatencyWindow>();

  private readonly peerMedians = new Map<
    DelayKind,
    { value: number | undefined; at: Milliseconds }
  >();

  constructor(pool: ReplicaPool, options: StragglerOptions) {
    this.pool = pool;
    this.options = options;
  }

  /**
   * Records a measurement.
   *
   * @param value - the delay
   * @returns how the classification of the replica has to change; the caller applies the change
   */
  recordDelay(
    state: ReplicaState,
    delay: DelayKind,
    className: string,
    value: Milliseconds,
    now: Milliseconds,
  ): StragglerVerdict {
    const normalizedDelay = this.normalizeDelay(`${delay} ${className}`, value, !state.isStraggler);
    if (normalizedDelay === undefined) {
      return StragglerVerdict.Unchanged;
    }
    getWindow(state, delay).add(normalizedDelay);
    if (now - state.comparedAt < COMPARISON_INTERVAL_MS) {
      return StragglerVerdict.Unchanged;
    }
    Object.assign(state, { comparedAt: now });
    return state.isStraggler ? this.checkRecovery(state, now) : this.checkStraggling(state, now);
  }

  /** @param isRepresentative - whether the value is typical of its class; a straggler's is not */
  private normalizeDelay(
    key: string,
    value: Milliseconds,
    isRepresentative: boolean,
  ): number | undefined {
    const window =
      this.classWindows.get(key) ??
      new LatencyWindow(CLASS_WINDOW_SIZE, MAX_ADDED_SINCE_CLASS_MEDIAN);
    this.classWindows.set(key, window);
    const median = window.size < MIN_CLASS_SAMPLES ? undefined : window.getMedian();
    if (isRepresentative) {
      window.add(value);
    }
    if (median === undefined) {
      return undefined;
    }
    return value - median < this.options.minStragglerExcess ? 1 : value / Math.max(1, median);
  }

  private checkStraggling(state: ReplicaState, now: Milliseconds): StragglerVerdict {
    const { maxStragglerRatio, stragglerFactor, minStragglerSamples } = this.options;
    if (this.pool.stragglers.size + 1 > this.pool.eligible.size * maxStragglerRatio) {
      return StragglerVerdict.Unchanged;
    }
    const isStraggling = [DelayKind.FirstToken, DelayKind.TokenGap].some((delay) => {
      const window = getWindow(state, delay);
      const peerMedian = this.getPeerMedian(delay, now);
      return (
        peerMedian !== undefined &&
        window.size >= minStragglerSamples &&
        window.getMedian() > stragglerFactor * peerMedian
      );
    });
    return isStraggling ? StragglerVerdict.Straggling : StragglerVerdict.Unchanged;
  }

  private checkRecovery(state: ReplicaState, now: Milliseconds): StragglerVerdict {
    const { recoveryFactor } = this.options;
    const isFast = [DelayKind.FirstToken, DelayKind.TokenGap].every((delay) => {
      const window = getWindow(state, delay);
      const peerMedian = this.getPeerMedian(delay, now) ?? 1;
      return window.getRecentMedian(MIN_RECOVERY_PROBES) <= recoveryFactor * peerMedian;
    });
    const hasEnoughProbes = state.firstTokenDelays.size >= MIN_RECOVERY_PROBES;
    return isFast && hasEnoughProbes ? StragglerVerdict.Recovered : StragglerVerdict.Unchanged;
  }

  /** The median of the medians of all peers, cached for one comparison interval. */
  private getPeerMedian(delay: DelayKind, now: Milliseconds): number | undefined {
    const known = this.peerMedians.get(delay);
    if (known !== undefined && now - known.at < COMPARISON_INTERVAL_MS) {
      return known.value;
    }
    const value = this.computePeerMedian(delay);
    this.peerMedians.set(delay, { value, at: now });
    return value;
  }

  private computePeerMedian(delay: DelayKind): number | undefined {
    const medians: number[] = [];
    this.pool.getMembers().some((state) => {
      const window = getWindow(state, delay);
      if (!state.isStraggler && window.size >= this.options.minStragglerSamples) {
        medians.push(window.getMedian());
      }
      return medians.length === MAX_COMPARED_REPLICAS;
    });
    return medians.length < MIN_COMPARED_REPLICAS ? undefined : getMedian(medians);
  }
}
