import type { Clock, Milliseconds } from '@apricotrill/utils';
import type { AdmissionControl } from '../admission/AdmissionControl/AdmissionControl.js';
import { OwnApplicants } from '../admission/OwnApplicants/OwnApplicants.js';
import type { AttemptKeys } from '../AttemptKeys.js';
import { chooseReplica } from '../chooseReplica.js';
import type { ChosenReplica } from '../chooseReplica.js';
import { Delegation } from '../Delegation/Delegation.js';
import { fitsMemory } from '../fitsMemory.js';
import type { Fleet } from '../Fleet/Fleet.js';
import { GroupRouter } from '../groups/GroupRouter/GroupRouter.js';
import type { PlacementEffect, PlacementResponse } from '../messages.js';
import { getDelegatedChoice } from '../getDelegatedChoice.js';
import { getMemoryTokens } from '../getMemoryTokens.js';
import { createSharedAttempt } from '../PeerAttempts/PeerAttempts.js';
import type { PlacementOptions } from '../placementOptions.js';
import type { Quarantine } from '../quarantine/Quarantine/Quarantine.js';
import type { ReplicaGroup } from '../groups/getReplicaGroups.js';
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
  backoffs: ReplicaBackoffs;
  /** Called before an attempt is sent in place of one that is still running, which has to end. */
  onReplaced: (record: RequestRecord) => void;
  /** Called when an attempt is sent. */
  onSent: (record: RequestRecord, attempt: RunningAttempt) => void;
  /** Called when a placer did not respond or provided no usable replica. */
  onQueryFailed: (record: RequestRecord) => void;
  /** Called when a request under admission control must not run now. */
  onRefused: (record: RequestRecord, retryAfter?: Milliseconds) => void;
  admissionControl: AdmissionControl;
}

/** The key of an attempt, and the daemon that counts it. */
interface Origin {
  key: string;
  placer: string | undefined;
}

/** Chooses replicas for this daemon's requests, or queries the placer that chooses for all daemons. */
export class Placing {
  private readonly delegation: Delegation;

  private readonly ownApplicants: OwnApplicants;

  private readonly router: GroupRouter;

  constructor(private readonly parts: PlacingParts) {
    this.router = new GroupRouter(parts);
    this.delegation = new Delegation({
      ...parts,
      onTimeout: parts.onQueryFailed,
      onOverdue: (record) => this.refuse(record),
    });
    this.ownApplicants = new OwnApplicants({
      ...parts,
      control: parts.admissionControl,
      onBegun: (record, chosen, key) =>
        this.send(record, chosen, { key, placer: this.getPlacerForReplica(chosen) }),
      chooseNext: (record) => this.router.chooseNext(record),
      onFailed: parts.onQueryFailed,
    });
  }

  /** Sends a request to the best replica, or queries its placer for one. */
  place(record: RequestRecord): PlacingResult {
    const { fleet, registry, quarantine } = this.parts;
    const { request } = record;
    const service = registry.getService(request.service);
    const isSuspect = quarantine.isSuspect(record.fingerprints);
    const hasVersion = record.softwareVersion !== undefined;
    const isControlled = service.isPlacerControlled && !isSuspect && !hasVersion;
    const isDelegable =
      isControlled ||
      service.getTotalLimit() !== undefined ||
      (!isSuspect && (fleet.isLarge || service.hasLimits()));
    // A placer chooses among all versions of a group.
    const mayDelegate = isDelegable && !hasVersion;
    const group = mayDelegate ? this.router.getGroup(record) : undefined;
    const placer = group === undefined ? undefined : this.delegation.findPlacer(record, group);
    if (isControlled && group !== undefined) {
      return this.apply(record, group, placer);
    }
    if (service.isFragile && !isSuspect && !hasVersion) {
      return PlacingResult.NoRoom;
    }
    if (placer === undefined || placer === fleet.self) {
      return this.placeLocally(record) ? PlacingResult.Sent : PlacingResult.NoRoom;
    }
    this.delegation.sendQuery(record, placer);
    return PlacingResult.Asked;
  }

  /** Chooses a replica without a placer. @returns false if none can take the request now */
  placeLocally(record: RequestRecord): boolean {
    const { registry, clock, keys, options } = this.parts;
    const { request } = record;
    const now = clock.now();
    const service = registry.getService(request.service);
    const candidates = Placing.filterByMemory(service, record, this.getCandidates(record));
    const chosen = chooseReplica({ request, service: service.service, candidates, now, options });
    if (chosen === undefined) {
      return false;
    }
    recordChoice(chosen.state, candidates);
    this.send(record, chosen, { key: keys.next(), placer: this.getPlacerForReplica(chosen) });
    return true;
  }

  /** Handles the response of a placer. */
  handleResponse(peer: string, response: PlacementResponse): void {
    const query = this.delegation.handleResponse(peer, response);
    if (query === undefined) {
      return;
    }
    this.router.recordResponse(query.record, peer, response);
    if (response.refused !== undefined) {
      const { key, refused } = response;
      if (this.router.chooseNext(query.record)) {
        this.parts.onQueryFailed(query.record);
        return;
      }
      this.refuse(query.record, { key, placer: peer, retryAfter: refused.retryAfter });
      return;
    }
    const chosen = getDelegatedChoice(query, response, this.parts);
    if (chosen !== undefined) {
      this.send(query.record, chosen, { key: response.key, placer: peer });
      return;
    }
    if (response.placement !== undefined) {
      this.delegation.releasePlacement(peer, response.key);
    } else if (response.queued === undefined) {
      this.router.chooseNext(query.record);
    }
    this.parts.onQueryFailed(query.record);
  }

  /** Cancels the pending query of a request that has ended. */
  cancelQueries(record: RequestRecord): void {
    this.delegation.cancelQueries(record);
    this.ownApplicants.cancel(record);
  }

  /** Asks other daemons if the placers of waiting requests are gone. */
  handleFleetChange(): void {
    this.delegation.handleFleetChange();
  }

  /** Asks the placer of a group whether a request under admission control may begin. */
  private apply(
    record: RequestRecord,
    group: ReplicaGroup,
    placer: string | undefined,
  ): PlacingResult {
    const { fleet, registry } = this.parts;
    const isAlone = fleet.members.length <= 1 && !record.queriedPlacers.has(fleet.self);
    if (isAlone || placer === fleet.self) {
      this.ownApplicants.submit(record, group.name);
    } else if (placer !== undefined) {
      this.delegation.sendQuery(record, placer, group.name);
    } else if (registry.getService(record.request.service).isFragile) {
      // Daemons that choose by what they know of the replica would fill the same slots.
      return PlacingResult.NoRoom;
    } else if (!this.placeInTime(record)) {
      this.refuse(record);
    }
    return PlacingResult.Asked;
  }

  /**
   * Chooses an engine without a placer: one with a free slot, as far as this daemon knows, where the first
   * token is expected in time.
   *
   * Load pattern: the placers of a group are gone while its engines are full. Their daemons would all send
   * what waits at once, each by the little that it knows of the engines.
   */
  private placeInTime(record: RequestRecord): boolean {
    const { registry, clock, keys, options } = this.parts;
    const { request } = record;
    const now = clock.now();
    const { service } = registry.getService(request.service);
    const candidates = this.getCandidates(record).filter(
      (state) =>
        !record.triedReplicas.has(state.replica.id) && state.hasFreeSlot(service?.engine, now),
    );
    const chosen = chooseReplica({ request, service, candidates, now, options });
    const lateAt = request.arrivedAt + request.latencyTarget;
    if (chosen === undefined || now + chosen.choice.expected > lateAt) {
      return false;
    }
    recordChoice(chosen.state, candidates);
    this.send(record, chosen, { key: keys.next(), placer: this.getPlacerForReplica(chosen) });
    return true;
  }

  /** @param refusal - the response of a placer; undefined if none responded */
  private refuse(
    record: RequestRecord,
    refusal?: { key: string; placer: string; retryAfter: Milliseconds },
  ): void {
    const { clock, emit, onRefused } = this.parts;
    const { id, arrivedAt } = record.request;
    emit({ kind: 'not-admitted', id, waited: clock.now() - arrivedAt, ...refusal });
    onRefused(record, refusal?.retryAfter);
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
    const { request, triedReplicas, softwareVersion, replacement, fingerprints } = record;
    const { registry, clock, fleet, quarantine } = this.parts;
    const now = clock.now();
    const service = registry.getService(request.service);
    const candidates =
      replacement === undefined
        ? service.getCandidates(triedReplicas, now, softwareVersion)
        : service.getReplacements(record, replacement, now);
    if (quarantine.isSuspect(fingerprints)) {
      return quarantine.restrictCandidates(fingerprints, candidates);
    }
    if (softwareVersion !== undefined || replacement !== undefined) {
      return candidates;
    }
    const group = fleet.isLarge ? this.router.getGroup(record) : undefined;
    // A placer knows all attempts in flight at its own group, but hardly any at other groups.
    const groupCandidates =
      group !== undefined && fleet.getPlacers(group.name)[0] === fleet.self
        ? service.getGroupCandidates(group, triedReplicas, now)
        : [];
    return groupCandidates.length > 0 ? groupCandidates : candidates;
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

  /** The placers of a fragile replica's group that neither chose nor send the attempt. */
  private getObservers({ replica }: ReplicaState, placer: string | undefined): readonly string[] {
    const { fleet, registry } = this.parts;
    const service = registry.getService(replica.service);
    if (placer === undefined || !service.isFragile) {
      return [];
    }
    const state = service.replicas.get(replica.id);
    const group = state === undefined ? undefined : service.getReplicaGroup(state);
    const placers = group === undefined ? [] : fleet.getPlacers(group.name);
    return placers.filter((daemon) => daemon !== placer && daemon !== fleet.self);
  }

  private send(record: RequestRecord, { state, choice }: ChosenReplica, origin: Origin): void {
    const { request } = record;
    const { clock, emit, fleet, onReplaced, onSent } = this.parts;
    const now = clock.now();
    const { prompt, pauseTarget } = request;
    if (record.running !== undefined) {
      onReplaced(record);
    }
    const attempt: RunningAttempt = {
      ...origin,
      observers: this.getObservers(state, origin.placer),
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
    attempt.observers.forEach((to) =>
      emit({
        kind: 'share',
        to,
        update: { kind: 'placed', attempt: createSharedAttempt(attempt) },
      }),
    );
    const { id } = request;
    emit({ kind: 'send', id, attempt: attempt.number, replica: state.replica, choice });
  }
}
