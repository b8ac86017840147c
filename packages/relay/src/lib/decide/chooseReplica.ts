import type { Milliseconds } from '@apricotrill/utils';
import { getHoldings, getHomes, getSessionPart } from './getCachedPrefixes.js';
import type { Holding } from './getCachedPrefixes.js';
import type { Choice } from './messages.js';
import { getEngineOffer } from './estimates/getEngineEstimate.js';
import { getPlainOffer } from './estimates/getPlainEstimate.js';
import type { ChoiceInputs, EngineInputs, Offer, Source } from './estimates/ReplicaEstimate.js';
import type { ReplicaState } from './ReplicaState/ReplicaState.js';

/** The replica chosen, and why. */
export interface ChosenReplica {
  state: ReplicaState;
  choice: Choice;
}

/** Failing answers are worth an attempt only where nothing else is near. */
const FAILURE_COST: Milliseconds = 1_000;

const NO_HOLDINGS: ReadonlyMap<ReplicaState, Holding> = new Map();

/**
 * Part of the failures that all replicas of a service show: faults of the requests, which say
 * nothing against a replica.
 */
function getCommonFailures(candidates: readonly ReplicaState[]): number {
  return Math.min(...candidates.map(({ expectedFailures }) => expectedFailures));
}

/** The two engines that hold most of a prompt: whichever is chosen can copy from the other. */
function getSources(holdings: ReadonlyMap<ReplicaState, Holding>): Source[] {
  return [...holdings]
    .map(([from, { copyable }]) => ({ from, copyable }))
    .sort((left, right) => right.copyable - left.copyable)
    .slice(0, 2);
}

function getEngineInputs(inputs: ChoiceInputs): EngineInputs {
  const { candidates, now, request } = inputs;
  if (request.prompt === undefined) {
    return { ...inputs, homes: [], holdings: NO_HOLDINGS, sources: [] };
  }
  const session = getSessionPart(request.prompt);
  const homes = session === undefined ? [] : getHomes(session, candidates);
  const holdings = getHoldings(request.prompt, candidates, homes[0], now);
  return { ...inputs, homes, holdings, sources: getSources(holdings) };
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

function getChoice(best: Offer, second: Offer | undefined, now: Milliseconds): Choice {
  const { state, copy } = best;
  const { lastReport } = state;
  return {
    cost: best.cost,
    expected: best.expected,
    missingTokens: best.missingTokens,
    tokensAhead: best.tokensAhead,
    isTelling: best.isTelling,
    copyTime: copy?.time ?? 0,
    fetchFrom: copy?.from.replica,
    fetchTokens: copy?.tokens,
    pauses: best.pauses,
    inFlight: state.running.size,
    reported: lastReport?.report,
    reportAge: lastReport === undefined ? undefined : now - lastReport.at,
    runnerUp:
      second === undefined ? undefined : { replica: second.state.replica.id, cost: second.cost },
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
  return { state: best.state, choice: getChoice(best, second, now) };
}
