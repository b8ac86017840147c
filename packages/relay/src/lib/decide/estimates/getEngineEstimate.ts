import type { Milliseconds } from '@apricotrill/utils';
import type { PauseEstimate, Prompt } from '../messages.js';
import { getHarm } from '../pauses.js';
import type { PlacementOptions } from '../placementOptions.js';
import type { ReplicaState } from '../ReplicaState/ReplicaState.js';
import { getCrossingCost } from '../estimates/getCrossZoneCost.js';
import type { ChoiceInputs, Copy, EngineInputs, Offer } from '../estimates/ReplicaEstimate.js';

/** Where the expected wait, as a part of the target, begins to be late, and where it surely is. */
const SURELY_IN_TIME = 0.5;
const SURELY_LATE = 1.2;

/**
 * What the engine could copy of the prompt in place of reading it: copying a token takes a third of
 * the time of reading it, and leaves the engine's steps to the requests that run.
 */
function getCopy(inputs: EngineInputs, state: ReplicaState, cached: number): Copy | undefined {
  const { service, options, sources } = inputs;
  const copyTime = service?.engine?.copyTime;
  const source = sources.find(({ from }) => from !== state);
  const tokens = (source?.copyable ?? 0) - cached;
  if (copyTime === undefined || source === undefined || tokens < options.leastCopy) {
    return undefined;
  }
  return { from: source.from, tokens, time: tokens * copyTime };
}

/** How likely a first token is late. */
function getLateness(expected: Milliseconds, target: Milliseconds): number {
  const part = expected / target;
  return Math.min(1, Math.max(0, (part - SURELY_IN_TIME) / (SURELY_LATE - SURELY_IN_TIME)));
}

function getPauseOutlook(
  { request, now }: ChoiceInputs,
  state: ReplicaState,
  missingTokens: number,
): PauseEstimate {
  return {
    readRate: state.readRate,
    slack: state.getPauseSlack(request.pauseTarget),
    readingShare: state.getReadingShare(now),
    harmed: state.getHarm(missingTokens, now),
  };
}

/**
 * What long prompts and running streams do to each other, in requests that come too late for it.
 *
 * Load pattern: long prompts with short answers beside short prompts with long answers, in bursts of
 * either. An answer of 300 tokens lasts two to three seconds; spread alike over all engines, each
 * meets a dozen prompts, and one of them that is read without a break makes the whole answer late.
 * So a prompt stays away from engines where streams run whose pauses are in time so far, however
 * late it will be elsewhere, and goes where streams are late already; a stream stays away from
 * engines that read. Prompts and answers part by themselves, in as many engines for either as they
 * need, and nothing is parted where neither harms the other.
 */
function getPauseCost(
  { slack, readingShare, harmed }: PauseEstimate,
  reading: Milliseconds,
  options: PlacementOptions,
): Milliseconds {
  const others = harmed * options.harmCost;
  if (slack === undefined) {
    return others;
  }
  const own = Math.max(readingShare / options.harmfulShare, getHarm(reading, slack));
  return others + Math.min(1, own) * options.lossCost;
}

/** Over its memory's limit an engine stops requests that run, and reads them again later. */
function getMemoryCost(
  { service, now, options }: ChoiceInputs,
  state: ReplicaState,
  prompt: Prompt,
): Milliseconds {
  const memory = service?.engine?.memoryTokens ?? Number.POSITIVE_INFINITY;
  const wanted = state.getMemory(now) + prompt.inputTokens + prompt.outputTokens / 2;
  return wanted > memory * options.memoryLimit ? options.memoryCost : 0;
}

/** What runs there already: a little for each, and the wait for a slot where there is none. */
function getLoadCost({ service, now, options }: ChoiceInputs, state: ReplicaState): Milliseconds {
  const load = state.running.size + state.getOthers(now);
  const slots = service?.engine?.slots ?? Number.POSITIVE_INFINITY;
  const full = (Math.max(0, load + 1 - slots) / slots) * options.slotWait;
  return load * options.runningCost + full;
}

/**
 * What choosing an engine costs: the time that it has to read before and for this prompt, the
 * requests that come too late for it, this one or others, and what is paid for.
 *
 * Load pattern: prompts of several thousand tokens share long heads, and an engine reads some 40
 * tokens in a millisecond. Sent to the engine with the fewest requests, every engine reads every
 * head, and the reading alone fills them; sent to the one that holds the head, most is never read.
 * Where one session is asked for so much that its engine falls behind, the wait there grows over
 * the cost of reading the head again, and another engine takes a part.
 */
export function getEngineOffer(inputs: EngineInputs, state: ReplicaState, prompt: Prompt): Offer {
  const { now, options, request } = inputs;
  const cached = inputs.holdings.get(state)?.cached ?? 0;
  const copy = getCopy(inputs, state, cached);
  const missingTokens = Math.max(0, prompt.inputTokens - cached - (copy?.tokens ?? 0));
  const others = state.getWaiting(now) * missingTokens;
  const backlog = state.getBacklog(now) + others;
  const tokensAhead = backlog + missingTokens;
  const expected = state.getWait(tokensAhead) + (copy?.time ?? 0);
  const pauses = getPauseOutlook(inputs, state, missingTokens);
  const cost =
    tokensAhead / state.readRate +
    getLateness(expected, request.latencyTarget) * options.lossCost +
    getPauseCost(pauses, backlog / state.readRate, options) +
    getLoadCost(inputs, state) +
    getMemoryCost(inputs, state, prompt) +
    (copy?.time ?? 0) * options.copyWeight +
    getCrossingCost(inputs, state);
  // An engine that was never heard may hold more than is believed, but its own sessions' heads.
  const isTelling = state.cache.isKnown || inputs.homes[0] === state;
  return { state, missingTokens, tokensAhead, isTelling, copy, expected, pauses, cost };
}
