import type { Milliseconds } from '@apricotrill/utils';
import { getCachedPrefixes, getHomeEngines, getSessionPartId } from './getCachedPrefixes.js';
import type { CachedPrefix } from './getCachedPrefixes.js';
import type { Choice } from './messages.js';
import { getEngineEstimate } from './estimates/getEngineEstimate.js';
import { getPlainEstimate } from './estimates/getPlainEstimate.js';
import type {
  ChoiceInputs,
  CopySource,
  EngineChoiceInputs,
  ReplicaEstimate,
} from './estimates/ReplicaEstimate.js';
import type { ReplicaState } from './ReplicaState/ReplicaState.js';

/** The replica that a request is sent to, with the inputs of the choice for the log. */
export interface ChosenReplica {
  state: ReplicaState;
  choice: Choice;
}

/** What was measured at the candidates for a request. */
interface CommonMeasurements {
  commonFailureRate: number;
  leastLatency: Milliseconds;
}

/**
 * Cost of a replica at a failure rate of 1. It is high enough that a failing replica is chosen only
 * if every other replica is far more expensive.
 */
const FAILURE_COST: Milliseconds = 1_000;

const NO_CACHED_PREFIXES: ReadonlyMap<ReplicaState, CachedPrefix> = new Map();

/**
 * The failure rate that all replicas of a service have in common. These failures are attributed to
 * the requests, so they do not count against any single replica.
 */
function getCommonFailureRate(candidates: readonly ReplicaState[]): number {
  return Math.min(...candidates.map(({ expectedFailureRate }) => expectedFailureRate));
}

function getLeastLatency(candidates: readonly ReplicaState[]): Milliseconds {
  return Math.min(...candidates.map(({ measuredLatency }) => measuredLatency));
}

/**
 * The two engines of each software version with the longest cached prefixes of a prompt. If one of them is
 * chosen, it can copy from the other. What one version has cached is of no use to another.
 */
function getCopySources(cachedPrefixes: ReadonlyMap<ReplicaState, CachedPrefix>): CopySource[] {
  const counts = new Map<string, number>();
  return [...cachedPrefixes]
    .map(([from, { copyable }]) => ({ from, copyable }))
    .sort((left, right) => right.copyable - left.copyable)
    .filter(({ from }) => {
      const { softwareVersion } = from.replica;
      const count = (counts.get(softwareVersion) ?? 0) + 1;
      counts.set(softwareVersion, count);
      return count <= 2;
    });
}

function getEngineInputs(inputs: ChoiceInputs): EngineChoiceInputs {
  const { candidates, now, request } = inputs;
  if (request.prompt === undefined) {
    return { ...inputs, homeEngines: [], cachedPrefixes: NO_CACHED_PREFIXES, sources: [] };
  }
  const session = getSessionPartId(request.prompt);
  const homeEngines = session === undefined ? [] : getHomeEngines(session, candidates);
  const cachedPrefixes = getCachedPrefixes(request.prompt, candidates, homeEngines[0], now);
  return { ...inputs, homeEngines, cachedPrefixes, sources: getCopySources(cachedPrefixes) };
}

function getReplicaEstimate(
  inputs: EngineChoiceInputs,
  state: ReplicaState,
  { commonFailureRate, leastLatency }: CommonMeasurements,
): ReplicaEstimate {
  const { request, now } = inputs;
  const { prompt } = request;
  const estimate =
    prompt === undefined
      ? getPlainEstimate(inputs, state, leastLatency)
      : getEngineEstimate(inputs, state, prompt);
  const failureRate = Math.max(0, state.expectedFailureRate - commonFailureRate);
  const fullCost = state.fullUntil > now ? request.latencyTarget : 0;
  return {
    ...estimate,
    cost: estimate.cost + failureRate * FAILURE_COST + fullCost + state.replica.warmupLeft,
  };
}

/**
 * Makes the first two home engines of the prompt's session cheaper, the second by half as much. All
 * daemons compute the same home engines. Without the preference, each daemon would start a session
 * that no engine has cached yet on a different engine.
 */
function applyHomePreference(
  { homeEngines, options }: EngineChoiceInputs,
  estimates: ReplicaEstimate[],
): void {
  if (estimates.length < 2) {
    return;
  }
  const [first, second] = homeEngines;
  estimates
    .filter(({ state }) => state === first || state === second)
    .forEach((estimate) => {
      const part = estimate.state === first ? 1 : 1 / 2;
      Object.assign(estimate, { cost: estimate.cost - options.homePreference * part });
    });
}

function getChoice(
  best: ReplicaEstimate,
  second: ReplicaEstimate | undefined,
  now: Milliseconds,
): Choice {
  const { state, copy } = best;
  const { lastReport } = state;
  return {
    cost: best.cost,
    expected: best.expected,
    missingTokens: best.missingTokens,
    tokensAhead: best.tokensAhead,
    isTelling: best.isInformative,
    copyTime: copy?.time ?? 0,
    fetchFrom: copy?.from.replica,
    fetchTokens: copy?.tokens,
    pauses: best.pauses,
    inFlight: state.running.size,
    reported: lastReport?.report,
    reportAge: lastReport === undefined ? undefined : now - lastReport.receivedAt,
    isTrial: state.trial.isDue || undefined,
    runnerUp:
      second === undefined ? undefined : { replica: second.state.replica.id, cost: second.cost },
  };
}

/**
 * Chooses the replica with the lowest cost for a request.
 *
 * @param inputs - the request and the replicas that it may be sent to
 * @returns undefined if there are no candidates
 */
export function chooseReplica(inputs: ChoiceInputs): ChosenReplica | undefined {
  const { candidates, now } = inputs;
  if (candidates.length === 0) {
    return undefined;
  }
  const common = {
    commonFailureRate: getCommonFailureRate(candidates),
    leastLatency: getLeastLatency(candidates),
  };
  const engineInputs = getEngineInputs(inputs);
  const estimates = candidates.map((state) => getReplicaEstimate(engineInputs, state, common));
  applyHomePreference(engineInputs, estimates);
  estimates.sort((left, right) => left.cost - right.cost);
  const [best, second] = estimates as [ReplicaEstimate, ReplicaEstimate | undefined];
  return { state: best.state, choice: getChoice(best, second, now) };
}
