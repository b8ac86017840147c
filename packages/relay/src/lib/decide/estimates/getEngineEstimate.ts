import type { Milliseconds } from '@apricotrill/utils';
import type { PauseEstimate, Prompt } from '../messages.js';
import { getHarmProbability } from '../pauses.js';
import type { PlacementOptions } from '../placementOptions.js';
import type { ReplicaState } from '../ReplicaState/ReplicaState.js';
import { getCrossZoneCost } from './getCrossZoneCost.js';
import type {
  ChoiceInputs,
  EngineChoiceInputs,
  PrefixCopy,
  ReplicaEstimate,
} from './ReplicaEstimate.js';

/** The ratio of expected wait to target up to which a first token is never late. */
const MAX_IN_TIME_RATIO = 0.5;
/** The ratio from which on it is always late. */
const MIN_LATE_RATIO = 1.2;

/**
 * The prefix that the engine could copy instead of prefilling it. Copying a token takes a third of
 * the time of prefilling it, and it does not occupy the steps that running requests share.
 */
function getPrefixCopy(
  inputs: EngineChoiceInputs,
  state: ReplicaState,
  cached: number,
): PrefixCopy | undefined {
  const { service, options, sources } = inputs;
  const copyTime = service?.engine?.copyTime;
  const { softwareVersion } = state.replica;
  const source = sources.find(
    ({ from }) => from !== state && from.replica.softwareVersion === softwareVersion,
  );
  const tokens = (source?.copyable ?? 0) - cached;
  if (copyTime === undefined || source === undefined || tokens < options.leastCopy) {
    return undefined;
  }
  return { from: source.from, tokens, time: tokens * copyTime };
}

/** The probability that the first token is late. */
function getLateProbability(expected: Milliseconds, target: Milliseconds): number {
  const ratio = expected / target;
  return Math.min(
    1,
    Math.max(0, (ratio - MAX_IN_TIME_RATIO) / (MIN_LATE_RATIO - MAX_IN_TIME_RATIO)),
  );
}

function getPauseEstimate(
  { request, now }: ChoiceInputs,
  state: ReplicaState,
  missingTokens: number,
): PauseEstimate {
  return {
    readRate: state.prefillRate,
    slack: state.getPauseSlack(request.pauseTarget),
    readingShare: state.getPrefillShare(now),
    harmed: state.getHarmedStreams(missingTokens, now),
  };
}

/**
 * Cost of the interference between prefill and running streams: the expected number of requests
 * that miss their pause target.
 *
 * Load pattern: bursts of long prompts with short responses, and bursts of short prompts with long
 * responses. A response of 300 tokens takes two to three seconds. With an even spread over all
 * engines, a dozen prompts arrive at its engine during that time, and a single uninterrupted
 * prefill makes the response miss its pause target. Therefore prompts avoid engines with streams that
 * have met their pause target so far, however long the wait elsewhere, and prefer engines whose
 * streams have missed it already. Streams avoid engines that are busy with prefill. Prompts and
 * streams end up on separate engines, as many of each as the load needs, and share engines where
 * neither harms the other.
 */
function getPauseCost(
  { slack, readingShare, harmed }: PauseEstimate,
  prefillTime: Milliseconds,
  options: PlacementOptions,
): Milliseconds {
  const costToOthers = harmed * options.harmCost;
  if (slack === undefined) {
    return costToOthers;
  }
  const missRisk = Math.max(
    readingShare / options.harmfulShare,
    getHarmProbability(prefillTime, slack),
  );
  return costToOthers + Math.min(1, missRisk) * options.lossCost;
}

/**
 * Cost of exceeding the memory limit: the engine preempts running requests and has to prefill them
 * again later.
 */
function getMemoryCost(
  { service, now, options }: ChoiceInputs,
  state: ReplicaState,
  prompt: Prompt,
): Milliseconds {
  const capacity = service?.engine?.memoryTokens ?? Number.POSITIVE_INFINITY;
  const required = state.getMemoryTokens(now) + prompt.inputTokens + prompt.outputTokens / 2;
  return required > capacity * options.memoryLimit ? options.memoryCost : 0;
}

/** Cost of the requests in flight: a little for each, and the wait for a slot if none is free. */
function getLoadCost({ service, now, options }: ChoiceInputs, state: ReplicaState): Milliseconds {
  const load = state.running.size + state.getUnannouncedInFlight(now);
  const slots = service?.engine?.slots ?? Number.POSITIVE_INFINITY;
  const slotCost = (Math.max(0, load + 1 - slots) / slots) * options.slotWait;
  return load * options.runningCost + slotCost;
}

/**
 * Requests that wait for a slot in addition to those of the backlog. Under admission, this daemon knows all
 * requests of the fleet at the engine, so that those that wait there are part of its backlog already.
 */
function getWaitingCount(state: ReplicaState, now: Milliseconds): number {
  const waiting = state.getWaiting(now);
  return state.statesSlowdown ? Math.min(waiting, state.getUnannouncedInFlight(now)) : waiting;
}

/**
 * Estimates a request to an engine. The cost adds up the prefill time of the engine's backlog and
 * of this prompt, what its machine's slowdown adds to the setup, the expected number of late requests (this one and others), and the billed
 * transfer.
 *
 * Load pattern: prompts of several thousand tokens share long prefixes, and an engine prefills some
 * 40 tokens per millisecond. If requests go to the engine with the fewest requests, every engine
 * prefills every prefix, and prefill alone saturates them. If they go to the engine that has the
 * prefix cached, most tokens are never prefilled. If one session gets more requests than its engine
 * can serve, the wait there exceeds the cost of prefilling the prefix again, and another engine
 * takes over a part.
 */
export function getEngineEstimate(
  inputs: EngineChoiceInputs,
  state: ReplicaState,
  prompt: Prompt,
): ReplicaEstimate {
  const { now, options, request } = inputs;
  const cached = inputs.cachedPrefixes.get(state)?.cached ?? 0;
  const copy = getPrefixCopy(inputs, state, cached);
  const missingTokens = Math.max(0, prompt.inputTokens - cached - (copy?.tokens ?? 0));
  const waitingTokens = getWaitingCount(state, now) * missingTokens;
  const backlog = state.getBacklog(now) + waitingTokens;
  const tokensAhead = backlog + missingTokens;
  const expected = state.getExpectedWait(tokensAhead) + (copy?.time ?? 0);
  const pauses = getPauseEstimate(inputs, state, missingTokens);
  const cost =
    tokensAhead / state.prefillRate +
    state.getSetupDelay() +
    getLateProbability(expected, request.latencyTarget) * options.lossCost +
    getPauseCost(pauses, backlog / state.prefillRate, options) +
    getLoadCost(inputs, state) +
    getMemoryCost(inputs, state, prompt) +
    (copy?.time ?? 0) * options.copyWeight +
    getCrossZoneCost(inputs, state);
  // An engine that has not reported its cache may have cached more than this daemon assumes, except
  // for the prefixes of sessions that have their home there.
  const isInformative = state.cache.isKnown || inputs.homeEngines[0] === state;
  return {
    state,
    missingTokens,
    tokensAhead,
    isInformative,
    copy,
    expected,
    pauses,
    cost,
  };
}
