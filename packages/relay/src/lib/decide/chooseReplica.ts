import type { Milliseconds } from '@apricotrill/utils';
import type { RelayService } from '../config/RelayConfiguration.js';
import { getHoldings, getHomes, getSessionPart } from './getHoldings.js';
import type { Holding } from './getHoldings.js';
import type { Choice, Parting, PlacementWish, Prompt } from './messages.js';
import type { PlacementOptions } from './placementOptions.js';
import { getReadingEngines, isSlowedByReading } from './readingEngines.js';
import type { ReplicaState } from './ReplicaState/ReplicaState.js';

/** What a choice is made from. */
export interface ChoiceInputs {
  request: PlacementWish;
  service: RelayService | undefined;
  candidates: readonly ReplicaState[];
  now: Milliseconds;
  options: PlacementOptions;
}

/** An engine from which a prompt's head can be copied. */
interface Source {
  from: ReplicaState;
  copyable: number;
}

/** The same, with what the engines hold and which of them read long prompts. */
interface EngineInputs extends ChoiceInputs {
  reading: ReadonlySet<ReplicaState>;
  holdings: ReadonlyMap<ReplicaState, Holding>;
  /** The engines that the prompt's session prefers, the best first. */
  homes: readonly ReplicaState[];
  sources: readonly Source[];
}

/** The replica chosen, and why. */
export interface ChosenReplica {
  state: ReplicaState;
  choice: Choice;
}

interface Offer {
  state: ReplicaState;
  missingTokens: number;
  tokensAhead: number;
  isTelling: boolean;
  copy: Copy | undefined;
  expected: Milliseconds;
  cost: Milliseconds;
}

/** What an engine would copy of a prompt from another one. */
interface Copy {
  from: ReplicaState;
  tokens: number;
  time: Milliseconds;
}

/** Failing answers are worth an attempt only where nothing else is near. */
const FAILURE_COST: Milliseconds = 1_000;

const TOKENS_PER_THOUSAND = 1_000;

const NO_ENGINES: ReadonlySet<ReplicaState> = new Set();
const NO_HOLDINGS: ReadonlyMap<ReplicaState, Holding> = new Map();

/**
 * Part of the failures that all replicas of a service show: faults of the requests, which say
 * nothing against a replica.
 */
function getCommonFailures(candidates: readonly ReplicaState[]): number {
  return Math.min(...candidates.map(({ expectedFailures }) => expectedFailures));
}

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

/** The two engines that hold most of a prompt: whichever is chosen can copy from the other. */
function getSources(holdings: ReadonlyMap<ReplicaState, Holding>): Source[] {
  return [...holdings]
    .map(([from, { copyable }]) => ({ from, copyable }))
    .sort((left, right) => right.copyable - left.copyable)
    .slice(0, 2);
}

/**
 * What long prompts and running streams do to each other, as a wait: a stream keeps away from the
 * engines that read, a prompt from those where streams run, unless the engines of its own kind have
 * fallen behind by more than that.
 */
function getPauseCost(
  { request, service, now, options, reading }: EngineInputs,
  state: ReplicaState,
  missingTokens: number,
): Milliseconds {
  const { engine } = service ?? {};
  const isReading = reading.has(state);
  if (isSlowedByReading(request.pauseTarget, engine, state.readRate, options)) {
    const share = Math.min(1, state.getReadingShare(now));
    return share * options.pressureCost + (isReading ? options.wrongSideCost : 0);
  }
  const unbroken = options.chunkTokens * (engine?.eventTokens ?? 1);
  const part = Math.min(1, (state.getBacklog(now) + missingTokens) / unbroken);
  let slowed = 0;
  state.running.forEach(({ pauseTarget }) => {
    slowed += isSlowedByReading(pauseTarget, engine, state.readRate, options) ? 1 : 0;
  });
  const side = isReading || slowed === 0 ? 0 : options.wrongSideCost;
  return slowed * part * options.slowedCost + side;
}

/** Bytes between zones are paid for, and a prompt is many; among equals the own zone goes first. */
function getCrossingCost(
  { request, options }: ChoiceInputs,
  { replica }: ReplicaState,
): Milliseconds {
  if (options.availabilityZone === '' || replica.availabilityZone === options.availabilityZone) {
    return 0;
  }
  const thousands = (request.prompt?.inputTokens ?? 0) / TOKENS_PER_THOUSAND;
  return options.crossingCost + thousands * options.crossingPerThousand;
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

/**
 * The wait for the first token at an engine: what it has to read before, what it has to read for
 * this prompt, and a little for what runs beside it.
 *
 * Load pattern: prompts of several thousand tokens share long heads, and an engine reads some 40
 * tokens in a millisecond. Sent to the engine with the fewest requests, every engine reads every
 * head, and the reading alone fills them; sent to the one that holds the head, most is never read.
 * Where one session is asked for so much that its engine falls behind, the wait there grows over
 * the cost of reading the head again, and another engine takes a part.
 */
function getEngineOffer(inputs: EngineInputs, state: ReplicaState, prompt: Prompt): Offer {
  const { now, options } = inputs;
  const cached = inputs.holdings.get(state)?.cached ?? 0;
  const copy = getCopy(inputs, state, cached);
  const missingTokens = Math.max(0, prompt.inputTokens - cached - (copy?.tokens ?? 0));
  const others = state.getWaiting(now) * missingTokens;
  const tokensAhead = state.getBacklog(now) + others + missingTokens;
  const reading = tokensAhead / state.readRate;
  const expected = state.getWait(tokensAhead) + (copy?.time ?? 0);
  const load = state.running.size + state.getOthers(now);
  const slots = inputs.service?.engine?.slots ?? Number.POSITIVE_INFINITY;
  const full = (Math.max(0, load + 1 - slots) / slots) * options.slotWait;
  const running = load * options.runningCost + full;
  const pauses = getPauseCost(inputs, state, missingTokens);
  const memory = getMemoryCost(inputs, state, prompt);
  const copying = (copy?.time ?? 0) * options.copyWeight;
  const crossing = getCrossingCost(inputs, state);
  const cost = reading + copying + running + pauses + memory + crossing;
  // An engine that was never heard may hold more than is believed, but its own sessions' heads.
  const isTelling = state.cache.isKnown || inputs.homes[0] === state;
  return { state, missingTokens, tokensAhead, isTelling, copy, expected, cost };
}

/** The wait for an answer of a plain service: its time, and more for what waits before. */
function getPlainOffer(inputs: ChoiceInputs, state: ReplicaState): Offer {
  const { now } = inputs;
  const load = state.running.size + state.getOthers(now) + 1;
  const slots = Math.max(1, state.replica.slots);
  const rounds = Math.max(1, load / slots);
  const spread = load / slots;
  return {
    state,
    missingTokens: 0,
    tokensAhead: 0,
    isTelling: false,
    copy: undefined,
    expected: state.expectedLatency * rounds,
    cost: state.expectedLatency * (rounds + spread) + getCrossingCost(inputs, state),
  };
}

function getOffer(inputs: EngineInputs, state: ReplicaState, commonFailures: number): Offer {
  const { request, now } = inputs;
  const { prompt } = request;
  const offer =
    prompt === undefined ? getPlainOffer(inputs, state) : getEngineOffer(inputs, state, prompt);
  const failures = Math.max(0, state.expectedFailures - commonFailures);
  const full = state.fullUntil > now ? request.latencyTarget : 0;
  return { ...offer, cost: offer.cost + failures * FAILURE_COST + full + state.replica.warmupLeft };
}

/**
 * Sessions that no engine holds yet have a home that all daemons compute alike: otherwise each
 * daemon would start the same session elsewhere.
 */
function preferHome({ homes, options }: EngineInputs, offers: Offer[]): void {
  if (offers.length < 2) {
    return;
  }
  const [first, second] = homes;
  offers
    .filter(({ state }) => state === first || state === second)
    .forEach((offer) => {
      const part = offer.state === first ? 1 : 1 / 2;
      Object.assign(offer, { cost: offer.cost - options.homePreference * part });
    });
}

function getEngineInputs(inputs: ChoiceInputs): EngineInputs {
  const { candidates, now, options, request } = inputs;
  if (request.prompt === undefined) {
    return { ...inputs, reading: NO_ENGINES, homes: [], holdings: NO_HOLDINGS, sources: [] };
  }
  const reading = getReadingEngines(request.service, candidates, now, options);
  const session = getSessionPart(request.prompt);
  const homes = session === undefined ? [] : getHomes(session, candidates);
  const holdings = getHoldings(request.prompt, candidates, homes[0], now);
  return { ...inputs, reading, homes, holdings, sources: getSources(holdings) };
}

function getParting(
  { request, service, options, reading }: EngineInputs,
  state: ReplicaState,
): Parting | undefined {
  if (request.prompt === undefined) {
    return undefined;
  }
  const { readRate } = state;
  return {
    readRate,
    readers: reading.size,
    isReader: reading.has(state),
    isSlowed: isSlowedByReading(request.pauseTarget, service?.engine, readRate, options),
  };
}

/**
 * Chooses where a request is sent.
 *
 * @param inputs - the request and the replicas it may go to
 * @returns undefined when there is none
 */
export function chooseReplica(inputs: ChoiceInputs): ChosenReplica | undefined {
  const { candidates, now } = inputs;
  if (candidates.length === 0) {
    return undefined;
  }
  const commonFailures = getCommonFailures(candidates);
  const engineInputs = getEngineInputs(inputs);
  const offers = candidates.map((state) => getOffer(engineInputs, state, commonFailures));
  preferHome(engineInputs, offers);
  offers.sort((left, right) => left.cost - right.cost);
  const [best, second] = offers as [Offer, Offer | undefined];
  const { lastReport } = best.state;
  return {
    state: best.state,
    choice: {
      cost: best.cost,
      expected: best.expected,
      missingTokens: best.missingTokens,
      tokensAhead: best.tokensAhead,
      isTelling: best.isTelling,
      copyTime: best.copy?.time ?? 0,
      fetchFrom: best.copy?.from.replica,
      fetchTokens: best.copy?.tokens,
      parting: getParting(engineInputs, best.state),
      inFlight: best.state.running.size,
      reported: lastReport?.report,
      reportAge: lastReport === undefined ? undefined : now - lastReport.at,
      runnerUp:
        second === undefined ? undefined : { replica: second.state.replica.id, cost: second.cost },
    },
  };
}
