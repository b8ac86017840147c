import type { ReplicaState } from '../ReplicaState/ReplicaState.js';
import { getCrossingCost } from '../estimates/getCrossZoneCost.js';
import type { ChoiceInputs, Offer } from '../estimates/ReplicaEstimate.js';

/** The wait for an answer of a plain service: its time, and more for what waits before. */
export function getPlainOffer(inputs: ChoiceInputs, state: ReplicaState): Offer {
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
    pauses: undefined,
    cost: state.expectedLatency * (rounds + spread) + getCrossingCost(inputs, state),
  };
}
