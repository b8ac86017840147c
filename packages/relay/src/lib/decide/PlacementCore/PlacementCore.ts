import type { Clock, Milliseconds } from '@apricotrill/utils';
import { AdmissionControl } from '../admission/AdmissionControl/AdmissionControl.js';
import { getAdmissionGroupFactory } from '../admission/getAdmissionGroupFactory.js';
import { PeerQueries } from '../admission/PeerQueries/PeerQueries.js';
import { AttemptKeys } from '../AttemptKeys.js';
import { AttemptReplacements } from '../AttemptReplacements/AttemptReplacements.js';
import { createFirstByteUpdate } from '../createFirstByteUpdate.js';
import { Fleet } from '../Fleet/Fleet.js';
import { getNextStep } from '../getNextStep.js';
import type { Fallback } from '../getNextStep.js';
import { AttemptEnd, CancelReason, GiveUpReason, KeepReason, Outcome } from '../messages.js';
import type {
  LoadReport,
  PlacementEffect,
  PlacementMessage,
  PlacementRequest,
  SharedAttempt,
  SharedAttemptResult,
  PlacementUpdate,
} from '../messages.js';
import { AbandonedAttempts, mayGoOn } from '../fragility/AbandonedAttempts/AbandonedAttempts.js';
import { ReplicaFragility } from '../fragility/ReplicaFragility/ReplicaFragility.js';
import { isOnTimeAt } from '../isOnTimeAt.js';
import { ReplicaLimits } from '../limits/ReplicaLimits/ReplicaLimits.js';
import { getSharedAttempts } from '../PeerAttempts/getSharedAttempts.js';
import { PeerAttempts } from '../PeerAttempts/PeerAttempts.js';
import { PeerUpdates } from '../PeerUpdates/PeerUpdates.js';
import { Placer } from '../Placer/Placer.js';
import { Placing } from '../Placing/Placing.js';
import { placementOptions } from '../placementOptions.js';
import type { PlacementOptions } from '../placementOptions.js';
import { getRefusal } from '../quarantine/getRefusal.js';
import { Admission, Quarantine } from '../quarantine/Quarantine/Quarantine.js';
import { recordContentResult } from '../quarantine/recordContentResult.js';
import { ReplicaBackoffs } from '../ReplicaBackoffs/ReplicaBackoffs.js';
import { ReplicaRegistry } from '../ReplicaRegistry/ReplicaRegistry.js';
import type { ServiceState } from '../ReplicaRegistry/ServiceState.js';
import type { ReplicaState } from '../ReplicaState/ReplicaState.js';
import { RequestRecord } from '../RequestRecord.js';
import type { RunningAttempt } from '../RequestRecord.js';
import { ResponseTimeouts } from '../ResponseTimeouts/ResponseTimeouts.js';
import { WaitingRequests } from '../WaitingRequests/WaitingRequests.js';

/** The outcome of a request that is given up without a running attempt. */
function getOutcome({ mayHaveRun }: RequestRecord): Outcome {
  return mayHaveRun ? Outcome.Unknown : Outcome.NotRun;
}

/** Dependencies of {@link PlacementCore}. */
export interface PlacementCoreParts {
  clock: Clock;
  emit: (effect: PlacementEffect) => void;
  options?: Partial<PlacementOptions>;
}

/**
 * Decides when and to which replica each request is sent, what follows a failed attempt, and when a
 * request is given up. Receives messages and emits effects; does no I/O.
 *
 * @example
 * ```ts
 * const core = new PlacementCore({ clock, emit: (effect) => sockets.perform(effect) });
 * core.handle({ kind: 'services', services });
 * core.handle({ kind: 'replicas', replicas });
 * core.handle({ kind: 'submit', request });
 * ```
 * @public
 */
export class PlacementCore {
  private readonly clock: Clock;

  private readonly emit: (effect: PlacementEffect) => void;

  private readonly options: PlacementOptions;

  /** Services and replicas, with their estimated state. */
  readonly registry: ReplicaRegistry;

  /** Request rate limits stated by replicas. */
  readonly limits: ReplicaLimits;

  /** Replicas that fall over when they turn too many requests away. */
  readonly fragility: ReplicaFragility;

  /** Backoffs that replicas asked for. */
  private readonly backoffs: ReplicaBackoffs;

  private readonly responseTimeouts: ResponseTimeouts;

  private readonly records = new Map<string, RequestRecord>();

  private readonly fleet = new Fleet((group) => this.registry.isAdmissionControlled(group));

  /** Rejects content that crashes replicas. */
  readonly quarantine: Quarantine;

  private readonly placing: Placing;

  private readonly waiting: WaitingRequests;

  private readonly replacements: AttemptReplacements;

  /** Decides which requests begin at the groups of which this daemon is a placer. */
  readonly admissionControl: AdmissionControl;

  private readonly placer: Placer;

  /** Attempts that other daemons have in flight. */
  private readonly peerAttempts: PeerAttempts;

  /** Attempts that have ended while their replicas may go on. */
  private readonly abandoned: AbandonedAttempts;

  private readonly peerUpdates: PeerUpdates;

  constructor({ clock, emit, options }: PlacementCoreParts) {
    this.clock = clock;
    this.emit = emit;
    this.options = { ...placementOptions, ...options };
    const { fleet } = this;
    const getGroup = (state: ReplicaState) =>
      this.registry.getService(state.replica.service).getReplicaGroup(state)?.name;
    this.limits = new ReplicaLimits({ clock, emit, fleet, getGroup });
    this.backoffs = new ReplicaBackoffs({ clock, emit });
    this.fragility = new ReplicaFragility({
      clock,
      emit,
      fleet,
      getGroup,
    });
    const { limits, backoffs, fragility } = this;
    this.registry = new ReplicaRegistry({
      clock,
      emit,
      options: this.options,
      limits,
      backoffs,
      fragility,
    });
    this.responseTimeouts = new ResponseTimeouts({
      clock,
      replace: (record, reason) => this.replacements.start(record, reason),
      options: this.options,
      registry: this.registry,
    });
    this.abandoned = new AbandonedAttempts({
      clock,
      onReleased: (state) => this.admissionControl.review(state),
    });
    this.peerAttempts = new PeerAttempts({
      clock,
      findReplica: (id) => this.registry.findReplica(id),
      onSent: (state) => this.recordSent(state),
      onAccepted: (state) => fragility.recordAccepted(state),
      onLoad: (state, report) => this.abandoned.recordReport(state, report),
      onEnded: (attempt, end) => this.recordSlotEnd(attempt, end),
      onChanged: (state) => this.admissionControl.review(state),
      isControlled: ({ replica }) => this.registry.getService(replica.service).isPlacerControlled,
    });
    this.quarantine = new Quarantine({
      clock,
      emit,
      fleet,
      onQuarantined: (fingerprint) => this.rejectQuarantined(fingerprint),
    });
    const { registry } = this;
    const parts = {
      clock,
      emit,
      options: this.options,
      registry,
      fleet,
      limits,
      backoffs,
    };
    this.admissionControl = new AdmissionControl({
      ...parts,
      createGroup: getAdmissionGroupFactory(parts),
    });
    const { admissionControl, peerAttempts } = this;
    const peerQueries = new PeerQueries({ clock, emit, control: admissionControl, peerAttempts });
    this.placer = new Placer({ ...parts, peerAttempts, peerQueries });
    this.placing = new Placing({
      ...parts,
      keys: new AttemptKeys(clock.now()),
      quarantine: this.quarantine,
      onSent: (record, attempt) => {
        this.recordSent(attempt.state);
        this.responseTimeouts.start(record, attempt);
      },
      onReplaced: (record) => this.endReplaced(record),
      onQueryFailed: (record) => this.handleFailedQuery(record),
      onRefused: (record, retryAfter) => this.refuse(record, retryAfter),
      admissionControl,
    });
    this.waiting = new WaitingRequests({
      clock,
      fleet,
      registry,
      placing: this.placing,
      countInFlight: (daemon, service) => this.countInFlight(daemon, service),
      giveUp: (record, reason) => this.giveUp(record, getOutcome(record), reason),
      fail: (record, error) => this.fail(record, error),
    });
    const { quarantine, placer, placing, waiting } = this;
    this.replacements = new AttemptReplacements({ clock, emit, registry, quarantine, placing });
    this.peerUpdates = new PeerUpdates({
      fleet,
      registry,
      quarantine,
      limits,
      fragility,
      backoffs,
      placer,
      placing,
      peerAttempts,
      waiting,
      admissionControl,
      peerQueries,
      onLeaving: (replica, peer) => this.recordLeaving(replica, peer),
    });
  }

  handle(message: PlacementMessage): void {
    switch (message.kind) {
      case 'services':
        message.services.forEach((service) => {
          this.registry.getService(service.name).setService(service);
        });
        break;
      case 'replicas':
        this.registry
          .setReplicas(message.replicas)
          .forEach((replica) => this.quarantine.recordGone(replica));
        this.limits.retain(new Set(message.replicas.map(({ id }) => id)));
        this.fragility.retain(new Set(message.replicas.map(({ id }) => id)));
        this.placer.updateFollowedEngines();
        this.admissionControl.updateGroups();
        this.waiting.drainAll();
        this.registry.allServices.forEach((service) => this.waiting.rejectUnplaceable(service));
        break;
      case 'submit':
        this.submit(message.request);
        break;
      case 'caller-left':
        this.drop(message.id, CancelReason.CallerLeft);
        break;
      case 'request-failed':
        this.drop(message.id, CancelReason.RequestFailed);
        break;
      case 'first-byte-received':
        this.handleFirstByte(message);
        break;
      case 'stream-started':
        this.handleStreamStart(message);
        break;
      case 'attempt-stranded':
        this.handleStranded(message);
        break;
      case 'contact':
        this.registry.findReplica(message.replica)?.recordByte(this.clock.now());
        break;
      case 'attempt-ended':
        this.handleAttemptEnd(message);
        break;
      case 'load':
        this.recordLoad(message.replica, message.report);
        break;
      case 'limit':
        this.limits.recordResponse(message);
        break;
      case 'threshold':
        this.fragility.recordResponse(message);
        break;
      case 'daemons':
        this.registry.setDaemonCount(message.count);
        break;
      case 'fleet':
        this.fleet.update(message.self, message.daemons, message.capacities);
        this.placer.updateFollowedEngines();
        this.admissionControl.updateGroups();
        this.placing.handleFleetChange();
        break;
      case 'peer-update':
        this.peerUpdates.handle(message.peer, message.update);
        break;
      case 'peer-removed':
        this.peerUpdates.removePeer(message.peer);
        break;
      case 'health':
        if (this.registry.recordHealthCheck(message)) {
          this.waiting.drainAll();
          this.admissionControl.reviewAll();
        }
        break;
      case 'liveness-checked':
        this.registry.recordLivenessCheck(message);
        break;
      case 'probed':
        this.quarantine.recordProbe(message.replica, message.result);
        this.registry.recordProbe(message.replica, message.result);
        this.waiting.drainAll();
        this.admissionControl.reviewAll();
        break;
      case 'quarantine':
        this.quarantine.restore(message.contents);
        break;
      case 'release':
        this.quarantine.release(message.fingerprint);
        break;
      case 'leaving':
        if (this.recordLeaving(message.replica, message.source)) {
          this.emit({ kind: 'share', update: { kind: 'leaving', replicas: [message.replica] } });
        }
        break;
      case 'backoff':
        this.backoffs.record(message.replica, message.span, message.source);
        this.reviewWaiting(message.replica);
        break;
      case 'cache-changed':
        this.registry.findReplica(message.replica)?.cache.apply(message.changes);
        break;
      case 'cache-listed':
        this.registry.findReplica(message.replica)?.cache.replace(message.changes);
        break;
      case 'cache-lost':
        this.registry.findReplica(message.replica)?.cache.clear();
        break;
      default:
        message satisfies never;
    }
  }

  /** Returns what each regular message repeats, since datagrams can be lost. */
  getPeriodicUpdates(): PlacementUpdate[] {
    return this.peerUpdates.getPeriodicUpdates();
  }

  /** Whether this daemon may still send a request that it placed at a replica. */
  maySend(replica: string): boolean {
    return !this.registry.isLeaving(replica) && !this.backoffs.isBackedOff(replica);
  }

  /**
   * Counts a health check against the replica's limit.
   *
   * @returns false if the limit, a backoff or the replica's fragility forbids it now
   */
  tryAcquireCheck(replica: string): boolean {
    const state = this.registry.findReplica(replica);
    if (this.backoffs.isBackedOff(replica)) {
      return false;
    }
    if (state === undefined) {
      return true;
    }
    if (!this.limits.maySend(state) || !this.fragility.tryAcquireCheck(state)) {
      return false;
    }
    this.limits.recordSent(replica);
    return true;
  }

  /** Number of requests that have not ended. */
  get openRequests(): number {
    return this.records.size;
  }

  /**
   * Returns the attempts that this daemon has in flight, by the peer that is notified of them. The
   * key undefined stands for all peers without an entry of their own.
   */
  getSharedAttempts(): Map<string | undefined, SharedAttempt[]> {
    const running = [...this.records.values()].flatMap((record) => record.running ?? []);
    return getSharedAttempts(running, this.fleet.self);
  }

  private countInFlight(daemon: string, service: string): number {
    return daemon === this.fleet.self
      ? this.registry.getService(service).ownInFlight
      : this.peerAttempts.countInFlight(daemon, service);
  }

  private submit(request: PlacementRequest): void {
    const now = this.clock.now();
    const record = new RequestRecord(request);
    const service = this.registry.getService(request.service);
    this.records.set(request.id, record);
    service.retryBudget.recordRequest(now);
    record.setDeadlineTimer(
      this.clock.setTimer(request.deadline - now, () => this.handleDeadline(record)),
    );
    const admission = this.quarantine.admit(record.fingerprints);
    const refusal = getRefusal(admission);
    if (refusal !== undefined) {
      this.giveUp(record, Outcome.NotRun, refusal);
      return;
    }
    record.isTrial = admission === Admission.Trial;
    if (service.getReplicasInService().length === 0) {
      this.giveUp(record, Outcome.NotRun, GiveUpReason.NoReplica);
      return;
    }
    this.waiting.placeOrWait(record);
  }

  private handleFirstByte({ id, attempt }: { id: string; attempt: number }): void {
    const record = this.records.get(id);
    if (record?.running?.number === attempt) {
      const { running } = record;
      const now = this.clock.now();
      running.state.recordFirstByte(running, now);
      this.fragility.recordAccepted(running.state);
      const { isFragile } = this.registry.getService(record.request.service);
      this.announceUpdate(running, createFirstByteUpdate(running, now, isFragile));
      record.cancelSilenceTimer();
      this.replacements.abandon(record, KeepReason.Responds);
      this.admissionControl.review(running.state);
    }
  }

  /** From now on, the stream may go on only at the software version that has begun it. */
  private handleStreamStart({ id, attempt }: { id: string; attempt: number }): void {
    const record = this.records.get(id);
    if (record?.running?.number === attempt) {
      record.softwareVersion ??= record.running.state.replica.softwareVersion;
    }
  }

  /** Replaces an attempt whose connection carries nothing any more. */
  private handleStranded({ id, attempt }: { id: string; attempt: number }): void {
    const record = this.records.get(id);
    if (record?.running?.number === attempt) {
      this.replacements.start(record, CancelReason.PathLost);
    }
  }

  /** Ends the running attempt of a request whose next attempt is about to be sent. */
  private endReplaced(record: RequestRecord): void {
    const { request, running, replacement } = record;
    if (running === undefined || replacement === undefined) {
      return;
    }
    Object.assign(record, { replacement: undefined });
    const { number: attempt, sentAt } = running;
    this.emit({ kind: 'cancel', id: request.id, attempt, reason: replacement });
    this.releaseAttempt(record, { end: AttemptEnd.Cancelled, duration: this.clock.now() - sentAt });
    const step = getNextStep(record, AttemptEnd.Cancelled, this.options.unsentLimit);
    record.countAttempt(AttemptEnd.Cancelled);
    record.setFallback(step.kind === 'place' ? step.fallback : undefined);
  }

  /** Continues a request after a placer did not respond or provided no usable replica. */
  private handleFailedQuery(record: RequestRecord): void {
    try {
      if (record.replacement === undefined) {
        this.waiting.placeOrWait(record);
      } else {
        this.replacements.place(record);
      }
    } catch (error) {
      this.fail(record, error);
    }
  }

  private handleAttemptEnd({
    id,
    attempt,
    end,
  }: Extract<PlacementMessage, { kind: 'attempt-ended' }>): void {
    const record = this.records.get(id);
    const running = record?.running;
    if (record === undefined) {
      return;
    }
    if (running?.number !== attempt) {
      // The room of an attempt that was replaced is free.
      this.waiting.drain(this.registry.getService(record.request.service));
      this.admissionControl.reviewAll();
      return;
    }
    this.replacements.abandon(record, KeepReason.Responds);
    this.releaseAttempt(record, { end, duration: this.clock.now() - running.sentAt });
    record.countAttempt(end);
    this.registry.recordAttemptEnd(running, end);
    recordContentResult(this.quarantine, record, running, end);
    this.continueRequest(record, attempt, end);
    this.waiting.drain(this.registry.getService(record.request.service));
    this.admissionControl.review(running.state);
  }

  private continueRequest(record: RequestRecord, attempt: number, end: AttemptEnd): void {
    const step = getNextStep(record, end, this.options.unsentLimit);
    record.setFallback(step.kind === 'place' ? step.fallback : undefined);
    if (step.kind === 'settle') {
      this.settle(record, attempt);
      return;
    }
    if (step.kind === 'give-up') {
      this.giveUp(record, step.outcome, step.reason);
      return;
    }
    const service = this.registry.getService(record.request.service);
    const backoffEnd = service.getBackoffEnd();
    const mayPlace = backoffEnd === undefined || isOnTimeAt(record, backoffEnd);
    const hasResult = end !== AttemptEnd.Cancelled;
    const isOpenTrial = record.isTrial && !hasResult;
    if (step.isRetry && !this.quarantine.mayRepeat(record.fingerprints, isOpenTrial)) {
      this.giveUp(record, getOutcome(record), GiveUpReason.Quarantined);
      return;
    }
    if (this.quarantine.isUnderReview(record.fingerprints)) {
      this.giveUp(record, getOutcome(record), GiveUpReason.UnderReview);
      return;
    }
    if (mayPlace && (!step.isRetry || service.retryBudget.tryTake(this.clock.now()))) {
      this.waiting.placeOrWait(record);
    } else {
      this.fallBack(record, step.fallback);
    }
  }

  /** Ends a request after an attempt, if no further one is possible. */
  private fallBack(record: RequestRecord, fallback: Fallback): void {
    if (fallback === 'settle') {
      this.settle(record, record.startedAttempts);
    } else {
      this.giveUp(record, fallback.outcome, fallback.reason);
    }
  }

  /** Ends a request that the placer of its group does not admit. */
  private refuse(record: RequestRecord, retryAfter: Milliseconds | undefined): void {
    if (record.replacement !== undefined) {
      this.replacements.abandon(record, KeepReason.NotAdmitted);
    } else if (record.mayHaveRun && record.fallback !== undefined) {
      this.fallBack(record, record.fallback);
    } else {
      this.giveUp(record, getOutcome(record), GiveUpReason.Overload, retryAfter);
    }
  }

  /** @returns whether it was not known that the replica leaves */
  private recordLeaving(replica: string, source: string): boolean {
    const isNew = this.registry.recordLeaving(replica);
    if (isNew) {
      this.emit({ kind: 'replica-leaving', replica, source });
      const service = this.findService(replica);
      if (service !== undefined) {
        this.waiting.rejectUnplaceable(service);
      }
    }
    return isNew;
  }

  private findService(replica: string): ServiceState | undefined {
    const state = this.registry.findReplica(replica);
    return state === undefined ? undefined : this.registry.getService(state.replica.service);
  }

  /** Reviews the waiting requests of a replica's service after the replica asked for a backoff. */
  private reviewWaiting(replica: string): void {
    const service = this.findService(replica);
    if (service !== undefined) {
      this.waiting.review(service);
    }
  }

  private settle(record: RequestRecord, attempt: number): void {
    this.removeRecord(record);
    this.emit({ kind: 'settle', id: record.request.id, attempt });
  }

  private giveUp(
    record: RequestRecord,
    outcome: Outcome,
    reason: GiveUpReason,
    stated?: Milliseconds,
  ): void {
    this.removeRecord(record);
    const { id } = record.request;
    const isRetryable = outcome === Outcome.NotRun && reason !== GiveUpReason.Quarantined;
    const retryAfter = isRetryable ? (stated ?? this.getRetryAfter(record)) : undefined;
    const [quarantined] = this.quarantine.findQuarantined(record.fingerprints);
    this.emit({ kind: 'give-up', id, outcome, reason, retryAfter, quarantined });
  }

  private getRetryAfter({ request }: RequestRecord): Milliseconds {
    const backoffEnd = this.registry.getService(request.service).getBackoffEnd() ?? 0;
    return Math.max(this.options.retryAfter, backoffEnd - this.clock.now());
  }

  private handleDeadline(record: RequestRecord): void {
    this.abort(record, CancelReason.Deadline, GiveUpReason.Deadline);
  }

  /**
   * Gives up open requests with quarantined content. A response that has begun may go on: if the
   * replica completes it, the content is not responsible.
   */
  private rejectQuarantined(fingerprint: string): void {
    [...this.records.values()]
      .filter(({ fingerprints }) => fingerprints.includes(fingerprint))
      .filter(({ running }) => running?.isResponding !== true)
      .forEach((record) => this.abort(record, CancelReason.Quarantined, GiveUpReason.Quarantined));
  }

  /** Cancels the running attempt of a request, if any, and gives the request up. */
  private abort(record: RequestRecord, cancel: CancelReason, reason: GiveUpReason): void {
    const { running } = record;
    const outcome = running === undefined && !record.mayHaveRun ? Outcome.NotRun : Outcome.Unknown;
    this.cancelRunning(record, cancel);
    this.giveUp(record, outcome, reason);
  }

  /** Ends a request because of an unexpected error, which other requests don't share. */
  private fail(record: RequestRecord, error: unknown): void {
    this.emit({ kind: 'fault', id: record.request.id, step: 'place a request', error });
    this.abort(record, CancelReason.RequestFailed, GiveUpReason.Failed);
  }

  /** Removes a request that has ended without a decision of the core. */
  private drop(id: string, reason: CancelReason): void {
    const record = this.records.get(id);
    if (record !== undefined) {
      this.cancelRunning(record, reason);
      this.removeRecord(record);
      this.waiting.drain(this.registry.getService(record.request.service));
    }
  }

  private cancelRunning(record: RequestRecord, reason: CancelReason): void {
    const { running, request } = record;
    if (running !== undefined) {
      this.emit({ kind: 'cancel', id: request.id, attempt: running.number, reason });
      this.releaseAttempt(record);
      this.admissionControl.review(running.state);
    }
  }

  /** @param result - absent if the end provides no information about the replica */
  private releaseAttempt(record: RequestRecord, result?: SharedAttemptResult): void {
    const running = record.removeRunning();
    if (running !== undefined) {
      const { isFragile } = this.registry.getService(record.request.service);
      const duration = this.clock.now() - running.sentAt;
      const known = result ?? (isFragile ? { end: AttemptEnd.Cancelled, duration } : undefined);
      running.state.running.delete(running);
      this.recordSlotEnd(running, known?.end);
      // If all daemons are notified, each evaluates the replica by its own attempts only.
      const sharedResult = running.placer === undefined && !isFragile ? undefined : known;
      const isUrgent = isFragile || undefined;
      this.announceUpdate(running, {
        kind: 'ended',
        key: running.key,
        result: sharedResult,
        isUrgent,
      });
    }
  }

  private recordLoad(replica: string, report: LoadReport): void {
    const state = this.registry.findReplica(replica);
    if (state !== undefined) {
      this.abandoned.recordReport(state, report);
      state.recordLoadReport(report, this.clock.now());
    }
  }

  /** Records an attempt of any daemon that is counted as in flight from now on. */
  private recordSent(state: ReplicaState): void {
    this.limits.recordSent(state.replica.id);
    this.fragility.recordSent(state);
  }

  /** Records what the end of an attempt of any daemon means for the slots of its replica. */
  private recordSlotEnd(attempt: RunningAttempt, end: AttemptEnd | undefined): void {
    const { state } = attempt;
    if (end === undefined || !this.registry.getService(state.replica.service).isFragile) {
      return;
    }
    if (end === AttemptEnd.Refused) {
      this.fragility.recordTurnedAway(state);
    }
    if (end === AttemptEnd.Completed && !attempt.isResponding) {
      this.fragility.recordAccepted(state, 1);
    }
    if (mayGoOn(end)) {
      this.abandoned.add(attempt);
    }
  }

  /** Sends an update about an attempt to the daemons that count it. */
  private announceUpdate({ placer, observers }: RunningAttempt, update: PlacementUpdate): void {
    if (placer === undefined || placer !== this.fleet.self) {
      this.emit({ kind: 'share', to: placer, update });
    }
    observers.forEach((to) => this.emit({ kind: 'share', to, update }));
  }

  private removeRecord(record: RequestRecord): void {
    this.placing.cancelQueries(record);
    this.releaseAttempt(record);
    record.cancelTimers();
    this.registry.getService(record.request.service).waiting.remove(record);
    this.records.delete(record.request.id);
  }
}
