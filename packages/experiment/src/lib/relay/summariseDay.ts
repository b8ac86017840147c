import { quantileSorted, sampleCorrelation } from 'simple-statistics';
import type { FleetResult } from './FleetSimulation.js';
import { isInTime } from './SimulatedCall.js';
import type { SimulatedCall } from './SimulatedCall.js';

/** Length of the windows among which the worst of a day are sought. */
const WINDOW_MS = 2_000;

const WORST_WINDOW_COUNT = 2;

/** Windows with fewer calls are too noisy to count. */
const MIN_CALLS = 10;

/** Results of the calls of one kind. */
export interface KindSummary {
  name: string;
  calls: number;
  inTime: number;
  /** Completed calls whose first event came after the latency target. */
  lateFirst: number;
  /** Completed calls whose first event came in time, but that had too long a pause. */
  latePause: number;
  /** Calls without a complete response. */
  unserved: number;
  firstP50: number;
  firstP99: number;
  pauseP90: number;
}

/** Results of a day. */
export interface DaySummary {
  /** Earned share of the worth of all calls. */
  worth: number;
  /** Mean share that was earned in the worst windows. */
  worstWindows: number;
  /** Share that was earned by the worst kind. */
  worstKind: number;
  kinds: KindSummary[];
  prefilledTokens: number;
  copiedTokens: number;
  preemptions: number;
  /** Preemptions while a request of a less urgent route ran on. */
  invertedPreemptions: number;
  /** Prompt tokens that were sent to another availability zone. */
  crossZoneTokens: number;
  /** Correlation between the predicted and the actual time to the first event, over all streams. */
  correlation: number;
  /** Median error of that prediction, relative to the actual time. */
  predictionError: number;
}

function getWorth(call: SimulatedCall): number {
  const size = Math.min(4, 0.3 + 0.7 * call.size);
  return size * call.kind.worth;
}

function getEarnedWorth(call: SimulatedCall): number {
  if (!call.isComplete) {
    return 0;
  }
  const share = isInTime(call) ? 1 : call.kind.lateWorth / call.kind.worth;
  return share * getWorth(call);
}

function getWorthShare(calls: readonly SimulatedCall[]): number {
  const total = calls.reduce((sum, call) => sum + getWorth(call), 0);
  const earned = calls.reduce((sum, call) => sum + getEarnedWorth(call), 0);
  return total === 0 ? 1 : earned / total;
}

function getQuantile(values: number[], quantile: number): number {
  return values.length === 0
    ? 0
    : quantileSorted(
        values.sort((one, other) => one - other),
        quantile,
      );
}

function groupBy<Key>(calls: readonly SimulatedCall[], get: (call: SimulatedCall) => Key) {
  const groups = new Map<Key, SimulatedCall[]>();
  calls.forEach((call) => {
    const key = get(call);
    groups.set(key, [...(groups.get(key) ?? []), call]);
  });
  return groups;
}

function summariseKind(name: string, calls: SimulatedCall[]): KindSummary {
  const [{ kind }] = calls as [SimulatedCall];
  const firsts = calls.flatMap(({ firstEvent }) => (firstEvent === undefined ? [] : [firstEvent]));
  const completed = calls.filter(({ isComplete }) => isComplete);
  const isLateFirst = (call: SimulatedCall) => call.firstEvent! > kind.latencyTarget;
  return {
    name,
    calls: calls.length,
    inTime: calls.filter(isInTime).length,
    lateFirst: completed.filter(isLateFirst).length,
    latePause: completed.filter((call) => !isInTime(call) && !isLateFirst(call)).length,
    unserved: calls.length - completed.length,
    firstP50: getQuantile([...firsts], 0.5),
    firstP99: getQuantile([...firsts], 0.99),
    pauseP90: getQuantile(
      completed.map(({ longestPause }) => longestPause),
      0.9,
    ),
  };
}

function getPredictionQuality(calls: readonly SimulatedCall[]) {
  const pairs = calls.flatMap(({ predictedFirstEvent, firstEvent, attempts, prompt }) =>
    prompt !== undefined &&
    attempts === 1 &&
    predictedFirstEvent !== undefined &&
    firstEvent !== undefined
      ? [{ predictedFirstEvent, firstEvent }]
      : [],
  );
  if (pairs.length < MIN_CALLS) {
    return { correlation: 0, predictionError: 0 };
  }
  const errors = pairs.map(
    (pair) => Math.abs(pair.predictedFirstEvent - pair.firstEvent) / pair.firstEvent,
  );
  return {
    correlation: sampleCorrelation(
      pairs.map(({ predictedFirstEvent }) => predictedFirstEvent),
      pairs.map(({ firstEvent }) => firstEvent),
    ),
    predictionError: getQuantile(errors, 0.5),
  };
}

/** Summarises the results of a day. */
export function summariseDay({ calls, counts, crossZoneTokens }: FleetResult): DaySummary {
  const kinds = groupBy(calls, ({ kind }) => kind.name);
  const windows = [...groupBy(calls, ({ arrivedAt }) => Math.floor(arrivedAt / WINDOW_MS)).values()]
    .filter((group) => group.length >= MIN_CALLS)
    .map(getWorthShare)
    .sort((one, other) => one - other)
    .slice(0, WORST_WINDOW_COUNT);
  return {
    worth: getWorthShare(calls),
    worstWindows: windows.reduce((sum, share) => sum + share, 0) / Math.max(1, windows.length),
    worstKind: Math.min(...[...kinds.values()].map(getWorthShare)),
    kinds: [...kinds].map(([name, group]) => summariseKind(name, group)),
    prefilledTokens: counts.prefilledTokens,
    copiedTokens: counts.copiedTokens,
    preemptions: counts.preemptions,
    invertedPreemptions: counts.invertedPreemptions,
    crossZoneTokens,
    ...getPredictionQuality(calls),
  };
}
