import { getHash, getWeightedRendezvousOrder } from '@apricotrill/utils';
import type { Milliseconds } from '@apricotrill/utils';
import type { KnownGroupLoad } from './GroupLoads/GroupLoads.js';

/** Options for the choice of a group. */
export const groupChoiceOptions = {
  /**
   * The wait that requests may have in their home group while others have room, as a ratio of the latency
   * target. The rest is left for the prompt itself, and for a wait that grows between two announcements.
   */
  acceptableWaitRatio: 0.25,
  /** Maximum cost of another group while requests leave home, as a ratio of the latency target. */
  maxCostRatio: 0.5,
};

/** A group of replicas that a request may be sent to. */
export interface GroupOption {
  name: string;
  /** Undefined while its placer has announced none. */
  load: KnownGroupLoad | undefined;
  /** Cost of sending the prompt to its availability zone. */
  crossingCost: Milliseconds;
  /** Time to prefill what the home group has cached of the prompt and this group hasn't. */
  prefillTime: Milliseconds;
}

/** The inputs of the choice of a group. */
export interface GroupChoiceInputs {
  home: GroupOption;
  /** The other groups that the request may be sent to. */
  others: readonly GroupOption[];
  requestId: string;
  /** Orders the other groups; identical for requests that share parts of their prompts. */
  session: string;
  /** Number of other groups over which the session is spread, by its demand. */
  spread: number;
  latencyTarget: Milliseconds;
  /** The share of the requests of the home group that it can't serve in time. */
  overflow: number;
}

/** The range of {@link getHash}. */
const HASH_RANGE = 2 ** 32;

/** Separates the choice by request from other uses of the hash of its ID. */
const SHARE_SEED = 1;

interface WeightedOption {
  option: GroupOption;
  weight: number;
}

/** Requests that can begin in a group, as far as its announcement still counts. */
export function getRoom({ load }: GroupOption): number {
  return load === undefined ? 0 : load.room * load.weight;
}

/** Cost of a request in another group, as an equivalent wait; infinite while its load is unknown. */
function getCost({ load, crossingCost, prefillTime }: GroupOption): Milliseconds {
  return (load?.expectedWait ?? Number.POSITIVE_INFINITY) + crossingCost + prefillTime;
}

/**
 * Picks one of the first groups in the order of a session.
 *
 * @param fraction - from 0 to below 1, different for each request
 */
function pickGroup(
  { session, spread }: Pick<GroupChoiceInputs, 'session' | 'spread'>,
  options: readonly WeightedOption[],
  fraction: number,
): GroupOption {
  const byName = new Map(options.map((weighted) => [weighted.option.name, weighted]));
  const order = getWeightedRendezvousOrder(
    session,
    [...byName.keys()],
    (name) => byName.get(name)!.weight,
  );
  const count = Math.min(order.length, Math.max(1, spread));
  return byName.get(order[Math.floor(fraction * count)]!)!.option;
}

function getFraction(requestId: string): number {
  return getHash(requestId, SHARE_SEED) / HASH_RANGE;
}

/**
 * Chooses the group that a request asks: the home group of its session, unless that can't serve all of its
 * requests in time and the wait there costs more than the way to another group and the part of the prompt
 * that has to be prefilled again.
 *
 * Load pattern: one availability zone, or one session, has several times the demand that its group can
 * serve, while others are calm. Many daemons hear of the same room at the same time; if all requests went
 * there, it would be filled many times over before the next announcement. Therefore only the overflow
 * leaves home, and it is divided among the groups in proportion to their room. Each session keeps its own
 * order of groups, so that its prompts are prefilled in as few groups as its demand needs. As the overflow
 * shrinks, the session returns.
 *
 * @returns the home group, or one of the others
 */
export function chooseGroup(inputs: GroupChoiceInputs): GroupOption {
  const { home, others, requestId, latencyTarget } = inputs;
  // The overflow counts less as the load it follows from ages, so that requests stay at home.
  const share = inputs.overflow * (home.load?.weight ?? 0);
  const fraction = getFraction(requestId);
  if (fraction >= share) {
    return home;
  }
  const homeCost = home.load!.expectedWait + home.crossingCost;
  const maxCost = Math.max(homeCost, latencyTarget * groupChoiceOptions.maxCostRatio);
  const weighted = others
    .map((option) => ({ option, weight: (maxCost - getCost(option)) * (1 + getRoom(option)) }))
    .filter(({ weight }) => weight > 0);
  return weighted.length === 0 ? home : pickGroup(inputs, weighted, fraction / share);
}

/**
 * Chooses the group that a request asks after the first one had no room for it or refused it: one that
 * announces room, and in which its first token can still be in time.
 *
 * Load pattern: a group fills up between two announcements of its load, while others have room.
 *
 * @param timeLeft - time until the latency target of the request
 * @returns undefined if there is no such group
 */
export function chooseNextGroup(
  inputs: Omit<GroupChoiceInputs, 'home' | 'latencyTarget' | 'overflow'>,
  timeLeft: Milliseconds,
): GroupOption | undefined {
  const weighted = inputs.others
    .filter((option) => getCost(option) < timeLeft)
    .map((option) => ({ option, weight: getRoom(option) }))
    .filter(({ weight }) => weight >= 1);
  return weighted.length === 0
    ? undefined
    : pickGroup(inputs, weighted, getFraction(inputs.requestId));
}
