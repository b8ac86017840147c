import { getHash, getWeightedRendezvousOrder } from '@apricotrill/utils';
import type { Milliseconds } from '@apricotrill/utils';
import type { KnownGroupLoad } from './GroupLoads/GroupLoads.js';

/** Options for the choice of a group. */
export const groupChoiceOptions = {
  /**
   * How much longer the wait at the home group must be for all of its requests to go elsewhere, as a
   * ratio of the latency target. The other half of the target is left for the prompt itself.
   */
  fullShareRatio: 0.5,
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

/** By how much a request is better off in another group than at home; at most 0 while loads are unknown. */
function getAdvantage(home: GroupOption, other: GroupOption): Milliseconds {
  if (home.load === undefined || other.load === undefined) {
    return 0;
  }
  // The wait at home counts less with age and that elsewhere doesn't, so that old loads keep requests at
  // home.
  const homeCost = home.load.expectedWait * home.load.weight + home.crossingCost;
  return homeCost - other.load.expectedWait - other.crossingCost - other.prefillTime;
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
 * Chooses the group that a request asks: the home group of its session, unless the wait there costs more
 * than the way to another group and the part of the prompt that has to be prefilled again.
 *
 * Load pattern: one availability zone, or one session, has several times the demand that its group can
 * serve, while others are calm. Many daemons hear of the same room at the same time; if all requests went
 * there, it would be filled many times over before the next announcement. Therefore only a share of the
 * requests leaves home, which grows with the advantage, and it is divided among the groups in proportion
 * to their room. Each session keeps its own order of groups, so that its prompts are prefilled in as few
 * groups as its demand needs. As the wait at home falls, the share falls with it and the session returns.
 *
 * @returns the home group, or one of the others
 */
export function chooseGroup(inputs: GroupChoiceInputs): GroupOption {
  const { home, others, requestId, latencyTarget } = inputs;
  const better = others
    .map((option) => ({ option, advantage: getAdvantage(home, option) }))
    .filter(({ advantage }) => advantage > 0);
  const best = Math.max(0, ...better.map(({ advantage }) => advantage));
  const share = Math.min(1, best / (latencyTarget * groupChoiceOptions.fullShareRatio));
  const fraction = getFraction(requestId);
  if (fraction >= share) {
    return home;
  }
  const weighted = better.map(({ option, advantage }) => ({
    option,
    weight: advantage * (1 + getRoom(option)),
  }));
  return pickGroup(inputs, weighted, fraction / share);
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
  inputs: Omit<GroupChoiceInputs, 'home' | 'latencyTarget'>,
  timeLeft: Milliseconds,
): GroupOption | undefined {
  const weighted = inputs.others
    .filter(({ load, crossingCost, prefillTime }) => {
      const wait = load?.expectedWait ?? Number.POSITIVE_INFINITY;
      return wait + crossingCost + prefillTime < timeLeft;
    })
    .map((option) => ({ option, weight: getRoom(option) }))
    .filter(({ weight }) => weight >= 1);
  return weighted.length === 0
    ? undefined
    : pickGroup(inputs, weighted, getFraction(inputs.requestId));
}
