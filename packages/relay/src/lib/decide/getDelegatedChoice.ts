import type { Clock } from '@apricotrill/utils';
import type { ChosenReplica } from './chooseReplica.js';
import type { PendingQuery } from './Delegation/Delegation.js';
import { CancelReason } from './messages.js';
import type { Choice, Placement, PlacementResponse } from './messages.js';
import type { ReplicaBackoffs } from './ReplicaBackoffs/ReplicaBackoffs.js';
import type { ReplicaRegistry } from './ReplicaRegistry/ReplicaRegistry.js';
import type { ReplicaState } from './ReplicaState/ReplicaState.js';

/** What the choice of a placer is checked against. */
interface DelegatedChoiceInputs {
  clock: Clock;
  registry: ReplicaRegistry;
  backoffs: ReplicaBackoffs;
}

function createChoice(
  placement: Placement,
  state: ReplicaState,
  registry: ReplicaRegistry,
): Choice {
  const { fetchFrom, fetchTokens, expected, missingTokens, tokensAhead, copyTime } = placement;
  const { softwareVersion } = state.replica;
  const stated = fetchFrom === undefined ? undefined : registry.findReplica(fetchFrom)?.replica;
  // A placer of the release before knows no versions.
  const source = stated?.softwareVersion === softwareVersion ? stated : undefined;
  return {
    cost: expected,
    expected,
    missingTokens,
    tokensAhead,
    // The placer, which made the estimates, also learns from the actual wait.
    isTelling: false,
    copyTime,
    fetchFrom: source,
    fetchTokens: source === undefined ? undefined : fetchTokens,
    inFlight: state.running.size,
  };
}

/**
 * Returns the replica that a placer chose for a request.
 *
 * @returns undefined if the placer provided no replica, or one that cannot be used
 */
export function getDelegatedChoice(
  { record, placer, sentAt }: PendingQuery,
  { key, placement }: PlacementResponse,
  { clock, registry, backoffs }: DelegatedChoiceInputs,
): ChosenReplica | undefined {
  const state = placement === undefined ? undefined : registry.findReplica(placement.replica);
  const mustRespond = record.replacement === CancelReason.Silent;
  const isUsable =
    state !== undefined &&
    !(mustRespond && state.isSilent(clock.now())) &&
    state.isInService &&
    !backoffs.isBackedOff(state.replica.id) &&
    state.replica.service === record.request.service &&
    !record.triedReplicas.has(state.replica.id);
  if (!isUsable) {
    return undefined;
  }
  const waited = clock.now() - sentAt;
  const choice = createChoice(placement!, state, registry);
  return { state, choice: { ...choice, placer: { daemon: placer, key, waited } } };
}
