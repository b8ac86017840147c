import type { Milliseconds } from '@apricotrill/utils';
import type { ReplicaState } from '../ReplicaState/ReplicaState.js';
import { getCrossZoneCost } from './getCrossZoneCost.js';
import type { ChoiceInputs, ReplicaEstimate } from './ReplicaEstimate.js';

/**
 * Estimates a request to a plain service: the replica's mean latency, multiplied once its requests
 * in flight exceed its slots. Utilization adds to the cost, so that load spreads over idle replicas
 * too.
 *
 * @param leastLatency - the lowest latency that was measured at any of the candidates
 */
export function getPlainEstimate(
  inputs: ChoiceInputs,
  state: ReplicaState,
  leastLatency: Milliseconds,
): ReplicaEstimate {
  const { now } = inputs;
  const load = state.running.size + state.getUnannouncedInFlight(now) + 1;
  const slots = Math.max(1, state.replica.slots);
  const rounds = Math.max(1, load / slots);
  const utilization = load / slots;
  const latency = state.getExpectedLatency(leastLatency, now);
  return {
    state,
    missingTokens: 0,
    tokensAhead: 0,
    isInformative: false,
    copy: undefined,
    expected: latency * rounds,
    pauses: undefined,
    cost: latency * (rounds + utilization) + getCrossZoneCost(inputs, state),
  };
}
