import type { Clock } from '@apricotrill/utils';
import type { AttemptKeys } from '../AttemptKeys.js';
import { chooseReplica } from '../chooseReplica.js';
import type { ChosenReplica } from '../chooseReplica.js';
import { Delegation } from '../Delegation/Delegation.js';
import type { OpenAsk } from '../Delegation/Delegation.js';
import type { Fleet } from '../Fleet/Fleet.js';
import type { Choice, Placement, PlacementEffect, PlacementResponse } from '../messages.js';
import { getMemoryTokens } from '../getMemoryTokens.js';
import { getShared } from '../PeerAttempts/PeerAttempts.js';
import type { PlacementOptions } from '../placementOptions.js';
import type { ReplicaLimits } from '../limits/ReplicaLimits/ReplicaLimits.js';
import type { Quarantine } from '../quarantine/Quarantine/Quarantine.js';
import type { ReplicaRegistry } from '../ReplicaRegistry/ReplicaRegistry.js';
import type { ReplicaState } from '../ReplicaState/ReplicaState.js';
import type { RequestRecord, RunningAttempt } from '../RequestRecord.js';

/** What became of the wish to send a request. */
export enum PlacingResult {
  Sent = 'sent',
  /** Another daemon is asked where to. */
  Asked = 'asked',
  NoRoom = 'no-room',
}

/** What the placing is made of. */
export interface PlacingParts {
  clock: Clock;
  emit: (effect: PlacementEffect) => void;
  options: PlacementOptions;
  registry: ReplicaRegistry;
  fleet: Fleet;
  keys: AttemptKeys;
  quarantine: Quarantine;
  limits: ReplicaLimits;
  /** An attempt is under way. */
  onSent: (record: RequestRecord, attempt: RunningAttempt) => void;
  /** A placer was asked in vain. */
  onAgain: (record: RequestRecord) => void;
}

/** Who chose a replica, and by which name the attempt is known to others. */
interface Origin {
  key: string;
  placer: string | undefined;
}

/** Decides where this daemon's requests go, or asks the daemon that decides it for all. */
export class Placing {
  private readonly delegation: Delegation;

  constructor(private readonly parts: PlacingParts) {
    this.delegation = new Delegation({ ...parts, onSilent: parts.onAgain });
  }

  /** Sends a request to the replica that is best for it, or asks its placer for one. */
  place(record: RequestRecord): PlacingResult {
    const { fleet, registry: book, quarantine } = this.parts;
    const { request } = record;
    const service = book.getService(request.service);
    const isSuspect = quarantine.isSuspect(request.fingerprint);
    const isDelegable =
      service.getTotalLimit() !== undefined ||
      (!isSuspect && (fleet.isLarge || service.hasLimits()));
    const group = isDelegable ? service.getRequestGroup(request, request.id) : undefined;
    const placer = group === undefined ? undefined : this.delegation.findPlacer(record, group);
    if (placer === undefined || placer === fleet.self) {
      return this.placeHere(record) ? PlacingResult.Sent : PlacingResult.NoRoom;
    }
    this.delegation.ask(record, placer);
    return PlacingResult.Asked;
  }

  /** Chooses by what this daemon knows itself. @returns false when there is no room now */
  placeHere(record: RequestRecord): boolean {
    const { registry: book, clock, keys, options } = this.parts;
    const { request } = record;
    const now = clock.now();
    const service = book.getService(request.service);
    const chosen = chooseReplica({
      request,
      service: service.service,
      candidates: this.getCandidates(record),
      now,
      options,
    });
    if (chosen === undefined) {
      return false;
    }
    this.send(record, chosen, { key: keys.next(), placer: this.getPlacerOf(chosen) });
    return true;
  }

  /** A placer has answered. */
  takeReply(peer: string, reply: PlacementResponse): void {
    const ask = this.delegation.take(peer, reply);
    if (ask === undefined) {
      return;
    }
    const chosen = this.getChosen(ask, reply);
    if (chosen !== undefined) {
      this.send(ask.record, chosen, { key: reply.key, placer: peer });
      return;
    }
    if (reply.placement !== undefined) {
      this.delegation.tellUnused(peer, reply.key);
    }
    this.parts.onAgain(ask.record);
  }

  /** The request is over. */
  drop(record: RequestRecord): void {
    this.delegation.drop(record);
  }

  private getCandidates({ request, triedReplicas: tried }: RequestRecord): ReplicaState[] {
    const { registry: book, clock, fleet, quarantine } = this.parts;
    const now = clock.now();
    const service = book.getService(request.service);
    if (quarantine.isSuspect(request.fingerprint)) {
      return quarantine.restrictCandidates(request.fingerprint, service.getCandidates(tried, now));
    }
    const group = fleet.isLarge ? service.getRequestGroup(request, request.id) : undefined;
    // Of its own group a daemon knows all that is under way, of the others next to nothing.
    const own =
      group !== undefined && fleet.getPlacers(group.name)[0] === fleet.self
        ? service.getGroupCandidates(group, tried, now)
        : [];
    return own.length > 0 ? own : service.getCandidates(tried, now);
  }

  /** The daemon that is told of an attempt at a replica that this daemon chose by itself. */
  private getPlacerOf({ state }: ChosenReplica): string | undefined {
    const { registry: book, fleet } = this.parts;
    if (!fleet.isLarge) {
      return undefined;
    }
    const group = book.getService(state.replica.service).getReplicaGroup(state);
    return group === undefined ? fleet.self : fleet.getPlacers(group.name)[0];
  }

  /** @returns undefined where the placer knew of no replica, or of one that won't do any more */
  private getChosen(
    { record, placer, askedAt }: OpenAsk,
    { key, placement }: PlacementResponse,
  ): ChosenReplica | undefined {
    const { registry: book, clock } = this.parts;
    const state = placement === undefined ? undefined : book.findReplica(placement.replica);
    const isGood =
      state !== undefined &&
      state.isInService &&
      state.replica.service === record.request.service &&
      !record.triedReplicas.has(state.replica.id);
    if (!isGood) {
      return undefined;
    }
    const waited = clock.now() - askedAt;
    const choice = this.getChoice(placement!, state.running.size);
    return { state, choice: { ...choice, placer: { daemon: placer, key, waited } } };
  }

  private getChoice(placement: Placement, inFlight: number): Choice {
    const { fetchFrom, fetchTokens, expected, missingTokens, tokensAhead, copyTime } = placement;
    const source =
      fetchFrom === undefined ? undefined : this.parts.registry.findReplica(fetchFrom)?.replica;
    return {
      cost: expected,
      expected,
      missingTokens,
      tokensAhead,
      // What the wait says of the engine is learned by the placer.
      isTelling: false,
      copyTime,
      fetchFrom: source,
      fetchTokens: source === undefined ? undefined : fetchTokens,
      inFlight,
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
      isAnswering: false,
      hasMissedPauseTarget: false,
    };
    record.startAttempt(attempt);
    state.recordSent(attempt, now);
    limits.noteSent(state.replica.id);
    if (prompt !== undefined) {
      state.cache.addExpected(prompt, now);
    }
    onSent(record, attempt);
    const { placer } = origin;
    const isTold = choice.placer !== undefined || placer === fleet.self;
    if (!isTold) {
      emit({ kind: 'share', to: placer, update: { kind: 'placed', attempt: getShared(attempt) } });
    }
    const { id } = request;
    emit({ kind: 'send', id, attempt: attempt.number, replica: state.replica, choice });
  }
}
