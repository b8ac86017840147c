import type { Milliseconds } from '@apricotrill/utils';
import type { PolicyOptions } from '../policyOptions.js';
import { getMedian, LatencyWindow } from './LatencyWindow.js';
import type { ReplicaPool } from './ReplicaPool.js';
import type { ReplicaState } from './ReplicaState.js';

/** What is measured of an attempt. */
export enum Delay {
  FirstToken = 'first-token',
  TokenGap = 'token-gap',
}

/** Measurements kept to know what is usual for a class, and how many new ones may be ignored. */
const CLASS_WINDOW = 63;

const CLASS_TOLERANCE = 7;

/** Measurements of a class needed before anything is called unusual. */
const MIN_CLASS_SAMPLES = 8;

/** How often a replica is compared with its peers. */
const JUDGE_INTERVAL: Milliseconds = 200;

/** Peers compared with at most. */
const MAX_PEERS = 32;

/** Replicas with measurements that a comparison needs: with two, either could be the slow one. */
const MIN_PEERS = 3;

/** Probes that an acquittal rests on. */
const PROBES = 3;

/** What became of a replica's standing. */
export enum Verdict {
  Unchanged = 'unchanged',
  Convicted = 'convicted',
  Acquitted = 'acquitted',
}

type StragglerOptions = Pick<
  PolicyOptions,
  'stragglerFactor' | 'acquittalFactor' | 'stragglerExcess' | 'stragglerSamples' | 'maxConvicted'
>;

function getWindow(state: ReplicaState, delay: Delay): LatencyWindow {
  return delay === Delay.FirstToken ? state.firstTokens : state.tokenGaps;
}

/**
 * Finds replicas that are much slower than their peers, from the delays that this daemon observes
 * itself: a straggler's own load report says nothing of it. Each delay is divided by what is usual
 * for its class, so that a replica which happens to get the long prompts isn't called slow; medians
 * are compared, so that one odd answer isn't either. A convicted replica gets a probe now and then
 * and comes back once its probes are as fast as its peers. No more than a part of a pool is
 * convicted at once: when all are slow, the cause is elsewhere.
 *
 * @internal
 */
export class StragglerDetector {
  private readonly options: StragglerOptions;

  private readonly pool: ReplicaPool;

  private readonly usual = new Map<string, LatencyWindow>();

  private readonly references = new Map<Delay, { value: number | undefined; at: Milliseconds }>();

  constructor(pool: ReplicaPool, options: StragglerOptions) {
    this.pool = pool;
    this.options = options;
  }

  /**
   * Takes a measurement.
   *
   * @param value - in milliseconds
   * @returns whether the replica's standing has to change; the caller changes it
   */
  observe(
    state: ReplicaState,
    delay: Delay,
    className: string,
    value: Milliseconds,
    now: Milliseconds,
  ): Verdict {
    const ratio = this.getRatio(`${delay} ${className}`, value, !state.convicted);
    if (ratio === undefined) {
      return Verdict.Unchanged;
    }
    getWindow(state, delay).add(ratio);
    if (now - state.judgedAt < JUDGE_INTERVAL) {
      return Verdict.Unchanged;
    }
    Object.assign(state, { judgedAt: now });
    return state.convicted ? this.review(state, now) : this.judge(state, now);
  }

  /** @param isUsual - whether the value tells what is usual; that of a slow replica does not */
  private getRatio(key: string, value: Milliseconds, isUsual: boolean): number | undefined {
    const window = this.usual.get(key) ?? new LatencyWindow(CLASS_WINDOW, CLASS_TOLERANCE);
    this.usual.set(key, window);
    const median = window.size < MIN_CLASS_SAMPLES ? undefined : window.getMedian();
    if (isUsual) {
      window.add(value);
    }
    if (median === undefined) {
      return undefined;
    }
    return value - median < this.options.stragglerExcess ? 1 : value / Math.max(1, median);
  }

  private judge(state: ReplicaState, now: Milliseconds): Verdict {
    const { maxConvicted, stragglerFactor, stragglerSamples } = this.options;
    if (this.pool.convicted.size + 1 > this.pool.usable.size * maxConvicted) {
      return Verdict.Unchanged;
    }
    const isSlow = [Delay.FirstToken, Delay.TokenGap].some((delay) => {
      const window = getWindow(state, delay);
      const reference = this.getReference(delay, now);
      return (
        reference !== undefined &&
        window.size >= stragglerSamples &&
        window.getMedian() > stragglerFactor * reference
      );
    });
    return isSlow ? Verdict.Convicted : Verdict.Unchanged;
  }

  private review(state: ReplicaState, now: Milliseconds): Verdict {
    const { acquittalFactor } = this.options;
    const isFast = [Delay.FirstToken, Delay.TokenGap].every((delay) => {
      const window = getWindow(state, delay);
      const reference = this.getReference(delay, now) ?? 1;
      return window.getRecentMedian(PROBES) <= acquittalFactor * reference;
    });
    const isKnown = state.firstTokens.size >= PROBES;
    return isFast && isKnown ? Verdict.Acquitted : Verdict.Unchanged;
  }

  /** The median of the peers' medians, kept for as long as a judgement is. */
  private getReference(delay: Delay, now: Milliseconds): number | undefined {
    const known = this.references.get(delay);
    if (known !== undefined && now - known.at < JUDGE_INTERVAL) {
      return known.value;
    }
    const value = this.computeReference(delay);
    this.references.set(delay, { value, at: now });
    return value;
  }

  private computeReference(delay: Delay): number | undefined {
    const medians: number[] = [];
    this.pool.getMembers().some((state) => {
      const window = getWindow(state, delay);
      if (!state.convicted && window.size >= this.options.stragglerSamples) {
        medians.push(window.getMedian());
      }
      return medians.length === MAX_PEERS;
    });
    return medians.length < MIN_PEERS ? undefined : getMedian(medians);
  }
}
