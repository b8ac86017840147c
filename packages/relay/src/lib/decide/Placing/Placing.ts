import type { Clock } from '@apricotrill/utils';
import type { AttemptKeys } from '../AttemptKeys.js';
import { chooseReplica } from '../chooseReplica.js';
import type { ChosenReplica } from '../chooseReplica.js';
import { Delegation } from '../Delegation/Delegation.js';
import type { PendingQuery } from '../Delegation/Delegation.js';
import { fitsMemory } from '../fitsMemory.js';
import type { Fleet } from '../Fleet/Fleet.js';
import type { Choice, Placement, PlacementEffect, PlacementResponse } from '../messages.js';
import { getMemoryTokens } from '../getMemoryTokens.js';
import { createSharedAttempt } from '../PeerAttempts/PeerAttempts.js';
import type { SlotShares } from '../fragility/SlotShares/SlotShares.js';
import type { PlacementOptions } from '../placementOptions.js';
import type { ReplicaLimits } from '../limits/ReplicaLimits/ReplicaLimits.js';
import type { Quarantine } from '../quarantine/Quarantine/Quarantine.js';
import type { ReplicaRegistry } from '../ReplicaRegistry/ReplicaRegistry.js';
import type { ServiceState } from '../ReplicaRegistry/ServiceState.js';
import type { ReplicaState } from '../ReplicaState/ReplicaState.js';
import type { ReplicaBackoffs } from '../ReplicaBackoffs/ReplicaBackoffs.js';
import { recordChoice } from '../ReplicaTrial/recordChoice.js';
import type { RequestRecord, RunningAttempt } from '../RequestRecord.js';

/** Result of placing a request. */
export enum PlacingResult {
  Sent = 'sent',
  /** A placer has been queried for a replica. */
  Asked = 'asked',
  /** No replica can take the request now. */
  NoRoom = 'no-room',
}

/** Dependencies of {@link Placing}. */
export interface PlacingParts {
  clock: Clock;
  emit: (effect: PlacementEffect) => void;
  options: PlacementOptions;
  registry: ReplicaRegistry;
  fleet: Fleet;
  keys: AttemptKeys;
  quarantine: Quarantine;
  limits: ReplicaLimits;
  backoffs: ReplicaBackoffs;
  /** Called when an attempt is sent. */
  onSent: (record: RequestRecord, attempt: RunningAttempt) => void;
  /** Called when a placer did not respond or provided no usable replica. */
  onQueryFailed: (record: RequestRecord) => void;
  slotShares: SlotShares;
}

/** The key of an attempt, and the daemon that counts it. */
interface Origin {
  key: string;
  placer: string | undefined;
}

/** Chooses replicas for this daemon's requests, or queries the placer that chooses for all daemons. */
export class Placing {
  private readonly delegation: Delegation;

  constructor(private readonly parts: PlacingParts) {
    this.delegation = new Delegation({ ...parts, onTimeout: parts.onQueryFailed });
  }

  /** Sends a request to the best replica, or queries its placer for one. */
  place(record: RequestRecord): PlacingResult {
    const { fleet, registry, quarantine } = this.parts;
    const { request } = record;
    const service = registry.getService(request.service);
    const isSuspect = quarantine.isSuspect(record.fingerprints);
    const isDelegable =
      service.getTotalLimit() !== undefined ||
      service.isFragile ||
      (!isSuspect && (fleet.isLarge || service.hasLimits()));
    // A placer chooses among all versions of a group.
    const mayDelegate = isDelegable && record.softwareVersion === undefined;
    const group = mayDelegate ? service.getRequestGroup(request, request.id) : undefined;
    const placer = group === undefined ? undefined : this.delegation.findPlacer(record, group);
    if (placer === undefined || placer === fleet.self) {
      return this.placeLocally(record) ? PlacingResult.Sent : PlacingResult.NoRoom;
    }
    this.delegation.sendQuery(record, placer);
    return PlacingResult.Asked;
  }

  /** Chooses a replica without a placer. @returns false if none can take the request now */
  placeLocally(record: RequestRecord): boolean {
    const { registry, clock, fleet, keys, options } = this.parts;
    const { request } = record;
    const now = clock.now();
    const service = registry.getService(request.service);
    const slotShares = service.isFragile ? this.parts.slotShares : undefined;
    const mayTake = slotShares?.mayTake(fleet.self, service.name, request.rank) ?? true;
    const candidates = mayTake
      ? Placing.filterByMemory(service, record, this.getCandidates(record))
      : [];
    const chosen = chooseReplica({ request, service: service.service, candidates, now, options });
    if (chosen === undefined) {
      slotShares?.recordRefusal(fleet.self, service.name, request.rank);
      return false;
    }
    slotShares?.recordTaken(fleet.self, service.name);
    recordChoice(chosen.state, candidates);
    this.send(record, chosen, { key: keys.next(), placer: this.getPlacerForReplica(chosen) });
    return true;
  }

  /** Whether a placer did not respond recently. */
  isUnresponsive(daemon: string): boolean {
    return this.delegation.isUnresponsive(daemon);
  }

  /** Handles the response of a placer. */
  handleResponse(peer: string, response: PlacementResponse): void {
    const query = this.delegation.handleResponse(peer, response);
    if (query === undefined) {
      return;
    }
    const chosen = this.getChosenReplica(query, response);
    if (chosen !== undefined) {
      this.send(query.record, chosen, { key: response.key, placer: peer });
      return;
    }
    if (response.placement !== undefined) {
      this.delegation.releasePlacement(peer, response.key);
    }
    this.parts.onQueryFailed(query.record);
  }

  /** Cancels the pending query of a request that has ended. */
  cancelQueries(record: RequestRecord): void {
    this.delegation.cancelQueries(record);
  }

  /** Engines that state how long work takes are sent no more than their memory can hold. */
  private static filterByMemory(
    { isAdmissionControlled, service }: ServiceState,
    { request }: RequestRecord,
    candidates: ReplicaState[],
  ): ReplicaState[] {
    const capacity = service?.engine?.memoryTokens;
    return !isAdmissionControlled || capacity === undefined
      ? candidates
      : candidates.filter(({ running }) => fitsMemory(running, request.prompt, capacity));
  }

  private getCandidates(record: RequestRecord): ReplicaState[] {
    const { request, triedReplicas, softwareVersion } = record;
    const { registry, clock, fleet, quarantine } = this.parts;
    const now = clock.now();
    const service = registry.getService(request.service);
    if (quarantine.isSuspect(record.fingerprints)) {
      return quarantine.restrictCandidates(
        record.fingerprints,
        service.getCandidates(triedReplicas, now, softwareVersion),
      );
    }
    if (softwareVersion !== undefined) {
      return service.getCandidates(triedReplicas, now, softwareVersion);
    }
    const group = fleet.isLarge ? service.getRequestGroup(request, request.id) : undefined;
    // A placer knows all attempts in flight at its own group, but hardly any at other groups.
    const groupCandidates =
      group !== undefined && fleet.getPlacers(group.name)[0] === fleet.self
        ? service.getGroupCandidates(group, triedReplicas, now)
        : [];
    return groupCandidates.length > 0 ? groupCandidates : service.getCandidates(triedReplicas, now);
  }

  /** Returns the daemon that is notified of an attempt at a replica that this daemon chose. */
  private getPlacerForReplica({ state }: ChosenReplica): string | undefined {
    const { registry, fleet } = this.parts;
    if (!fleet.isLarge) {
      return undefined;
    }
    const group = registry.getService(state.replica.service).getReplicaGroup(state);
    return group === undefined ? fleet.self : fleet.getPlacers(group.name)[0];
  }

  /** @returns undefined if the placer provided no replica, or one that cannot be used */
  private getChosenReplica(
    { record, placer, sentAt }: PendingQuery,
    { key, placement }: PlacementResponse,
  ): ChosenReplica | undefined {
    const { registry, clock, backoffs } = this.parts;
    const state = placement === undefined ? undefined : registry.findReplica(placement.replica);
    const isUsable =
      state !== undefined &&
      state.isInService &&
      !backoffs.isBackedOff(state.replica.id) &&
      state.replica.service === record.request.service &&
      !record.triedReplicas.has(state.replica.id);
    if (!isUsable) {
      return undefined;
    }
    const waited = clock.now() - sentAt;
    const choice = this.createChoice(placement!, state);
    return { state, choice: { ...choice, placer: { daemon: placer, key, waited } } };
  }

  private createChoice(placement: Placement, state: ReplicaState): Choice {
    const { fetchFrom, fetchTokens, expected, missingTokens, tokensAhead, copyTime } = placement;
    const { softwareVersion } = state.replica;
    const stated =
      fetchFrom === undefined ? undefined : this.parts.registry.findReplica(fetchFrom)?.replica;
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

  private send(record: RequestRecord, { state, choice }: ChosenReplica, origin: Origin): void {
    const { request } = record;
    const { clock, emit, fleet, limits, onSent } = this.parts;
    const now = clock.now();
    const { prompt, pauseTarget } = request;
    const attempt: RunningAttempt = {
      ...origin,
      number: record.startedAttempts + 1,
      isOwn: true,
      isPlacedForPeer: false,
      state,
      sentAt: now,
      missingTokens: choice.missingTokens,
      tokensAhead: choice.tokensAhead,
      isInformative: choice.isTelling,
      copyTime: choice.copyTime,
      memoryTokens: getMemoryTokens(prompt),
      pauseTarget,
      prompt,
      isResponding: false,
      hasMissedPauseTarget: false,
    };
    record.startAttempt(attempt);
    state.recordSent(attempt, now);
    limits.recordSent(state.replica.id);
    if (prompt !== undefined) {
      state.cache.addExpected(prompt, now);
    }
    onSent(record, attempt);
    const { placer } = origin;
    const isKnownToPlacer = choice.placer !== undefined || placer === fleet.self;
    if (!isKnownToPlacer) {
      emit({
        kind: 'share',
        to: placer,
        update: { kind: 'placed', attempt: createSharedAttempt(attempt) },
      });
    }
    const { id } = request;
    emit({ kind: 'send', id, attempt: attempt.number, replica: state.replica, choice });
  }
}
