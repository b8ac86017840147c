import type { Replica } from '@apricotrill/model';
import { exhaustiveSwitchError } from '@apricotrill/utils';
import type { Milliseconds } from '@apricotrill/utils';
import { AttemptStatus, CancelReason, GiveUpReason } from '../messages.js';
import type { LoadReport, ExecutionOutcome, ScheduledRequest } from '../messages.js';
import { ReplicaChooser } from '../ReplicaChooser/ReplicaChooser.js';
import { ReplicaTable } from '../ReplicaChooser/ReplicaTable.js';
import { Reserve } from '../Reserve/Reserve.js';
import { RetryBudget } from '../RetryBudget/RetryBudget.js';
import { WaitingRoom } from '../WaitingRoom/WaitingRoom.js';
import { AttemptRunner } from './AttemptRunner.js';
import { getNextStep } from './getNextStep.js';
import { getServiceSnapshot } from './getServiceSnapshot.js';
import type { ServiceSnapshot } from './getServiceSnapshot.js';
import { ReplicaReview } from './ReplicaReview.js';
import { Phase, RequestRecord } from './RequestRecord.js';
import { RunningRequests } from './RunningRequests.js';
import type { ServiceSchedulerParts } from './ServiceSchedulerParts.js';
import { SlotFinder } from './SlotFinder.js';

interface GivingUp {
  reason: GiveUpReason;
  /** What the caller is told if it is not what the attempts say. */
  outcome?: ExecutionOutcome;
  retryAfter?: Milliseconds;
}

/**
 * Decides for the requests of one service.
 *
 * @internal
 */
export class ServiceScheduler {
  private readonly parts: ServiceSchedulerParts;

  private readonly table: ReplicaTable;

  private readonly room: WaitingRoom;

  private readonly running: RunningRequests;

  private readonly attempts: AttemptRunner;

  private readonly slots: SlotFinder;

  private readonly budget: RetryBudget;

  private readonly review: ReplicaReview;

  private readonly reserve: Reserve;

  /** The tier that the request being started goes before, if it owes its turn to a floor. */
  private overtakes: number | undefined;

  constructor(parts: ServiceSchedulerParts) {
    const { clock, random, options } = parts;
    this.parts = parts;
    this.reserve = new Reserve(options);
    this.table = new ReplicaTable({
      ...parts,
      reserve: this.reserve,
      onOpened: () => this.pump(),
    });
    this.running = new RunningRequests(options.maxPreemptions);
    this.attempts = new AttemptRunner({
      ...parts,
      table: this.table,
      running: this.running,
      onCancelled: (record) => this.attemptEnded(record, AttemptStatus.Cancelled),
      onLate: (record) => this.preempt(this.slots.findLateVictim(record)),
      onSilent: (record) => {
        this.pathSilent(record.attempt!.state.id);
        this.attempts.cancel(record, CancelReason.Silent);
        this.pump();
      },
    });
    this.slots = new SlotFinder(
      new ReplicaChooser(random, options),
      this.running,
      options.preemptingTier,
    );
    this.budget = new RetryBudget(options, clock.now());
    this.room = new WaitingRoom({
      clock,
      options,
      random,
      start: (record) => this.start(record),
      onExpired: (record) => this.expire(record),
      onReturned: () => this.pump(),
    });
    this.review = new ReplicaReview({
      clock,
      options,
      table: this.table,
      running: this.running,
      budget: this.budget,
      cancel: (record) => this.attempts.cancel(record, CancelReason.Straggling),
    });
  }

  submit(request: ScheduledRequest): void {
    const { options, records, clock } = this.parts;
    if (this.reserve.note(request.serviceClass.tier, clock.now())) {
      this.updateShares();
    }
    const isUrgent = request.serviceClass.tier <= options.urgentTier;
    const record = new RequestRecord(request, this.table.getPool(request.model), isUrgent);
    records.set(record.id, record);
    if (record.pool.usable.size === 0) {
      this.giveUp(record, { reason: GiveUpReason.NoReplica });
      return;
    }
    const refusal = this.room.getEarlyRefusal(record);
    if (refusal !== undefined) {
      this.giveUp(record, refusal);
      return;
    }
    const loser = this.room.makeRoom(record);
    if (loser !== undefined) {
      this.giveUp(records.get(loser)!, { reason: GiveUpReason.Overload });
    }
    if (loser !== record.id) {
      this.join(record);
    }
  }

  callerLeft(record: RequestRecord): void {
    if (record.phase === Phase.Waiting) {
      this.room.remove(record);
    }
    if (record.phase === Phase.Running) {
      this.attempts.abandon(record);
    }
    this.forget(record);
    this.pump();
  }

  progress(record: RequestRecord, tokens: number): void {
    const { state } = record.attempt!;
    this.review.noteSuccess(state);
    const measurement = record.progress(tokens, this.parts.clock.now());
    if (measurement !== undefined && this.review.noteMeasurement(record, state, measurement)) {
      this.pump();
    }
  }

  attemptEnded(record: RequestRecord, end: AttemptStatus, retryAfter?: Milliseconds): void {
    const attempt = record.attempt!;
    if (record.phase === Phase.Running) {
      this.attempts.release(record);
    }
    record.end(end);
    if (end === AttemptStatus.Completed) {
      this.budget.earn();
      this.review.noteSuccess(attempt.state);
    } else if (!attempt.isOwnCancel) {
      record.fail(attempt.state.id);
      this.review.noteFailure(attempt.state, end, retryAfter);
    }
    this.goOn(record, end, attempt.isOwnCancel);
    this.pump();
  }

  report(report: LoadReport): void {
    const state = this.table.get(report.replica);
    if (state !== undefined) {
      state.report(report, this.parts.clock.now(), this.parts.random);
      this.table.refresh(state);
      this.pump();
    }
  }

  setReplicas(replicas: readonly Replica[]): void {
    this.table.setReplicas(replicas);
    this.pump();
  }

  updateShares(): void {
    this.table.updateShares();
    this.pump();
  }

  setLeaving(replica: string, leaving: boolean): void {
    this.table.setLeaving(replica, leaving);
    this.pump();
  }

  pathSilent(replica: string): void {
    const state = this.table.get(replica);
    if (state !== undefined) {
      this.review.noteSilence(state);
    }
  }

  getSnapshot(): ServiceSnapshot {
    const { service, clock } = this.parts;
    const { room, running, budget, table } = this;
    return getServiceSnapshot({ service, room, running, budget, table, now: clock.now() });
  }

  dispose(): void {
    this.table.dispose();
  }

  /** Starts whatever can run now. */
  private pump(): void {
    const { options, clock } = this.parts;
    const now = clock.now();
    while (
      this.room.size > 0 &&
      this.room.startNext(({ className, tier, pool }, isCredited) => {
        const overtakes = isCredited ? this.room.getOvertaken(className) : undefined;
        this.overtakes = overtakes;
        const isUrgent = tier <= options.urgentTier;
        const members = this.table.getPool(pool === '' ? undefined : pool);
        return this.slots.canStart(members, { tier, className, isUrgent, overtakes }, now);
      })
    );
  }

  /**
   * Lets a newcomer wait, or start if it can. After every message all that waits is known to find
   * no room, so one more behind it finds none either; in an overload this saves most of the work.
   */
  private join(record: RequestRecord): void {
    const isBlocked = this.room.isBlocked(record);
    this.room.add(record);
    if (!isBlocked) {
      this.pump();
    }
  }

  private start(record: RequestRecord): Promise<void> {
    const { overtakes } = this;
    const className = record.request.serviceClass.name;
    const entitlement = { tier: record.tier, isUrgent: record.isUrgent, className, overtakes };
    const slot = this.slots.find(record, entitlement, this.parts.clock.now());
    if (slot === undefined) {
      this.room.park(record);
      return Promise.resolve();
    }
    this.preempt(slot.victim);
    this.room.noteDispatch(className);
    return new Promise((resolve) => {
      this.attempts.dispatch(record, { ...slot, priority: overtakes }, resolve);
    });
  }

  private preempt(victim: RequestRecord | undefined): boolean {
    victim?.preempt();
    if (victim !== undefined) {
      this.attempts.cancel(victim, CancelReason.Preempted);
    }
    return victim !== undefined;
  }

  private goOn(record: RequestRecord, end: AttemptStatus, isOwnCancel: boolean): void {
    const { clock, options, emit } = this.parts;
    const now = clock.now();
    const takeRetry = () => this.budget.take(now, record.isUrgent);
    const { maxFailures } = options;
    const step = getNextStep(record, { end, isOwnCancel, now, maxFailures, takeRetry });
    switch (step.kind) {
      case 'done':
        this.forget(record);
        emit({ kind: 'done', id: record.id });
        return;
      case 'give-up':
        this.giveUp(record, step);
        return;
      case 'retry':
        this.room.add(record);
        return;
      default:
        throw exhaustiveSwitchError(step);
    }
  }

  private expire(record: RequestRecord): void {
    const isOrphan = record.pool.usable.size === 0;
    this.giveUp(record, { reason: isOrphan ? GiveUpReason.NoReplica : GiveUpReason.Deadline });
  }

  private giveUp(
    record: RequestRecord,
    { reason, outcome = record.outcome, retryAfter }: GivingUp,
  ): void {
    const wait = retryAfter ?? this.room.getRetryAfter(record);
    this.forget(record);
    this.parts.emit({ kind: 'give-up', id: record.id, outcome, reason, retryAfter: wait });
  }

  private forget(record: RequestRecord): void {
    record.enter(Phase.Over);
    this.parts.records.delete(record.id);
  }
}
