import type { Replica } from '@apricotrill/model';
import { exhaustiveSwitchError } from '@apricotrill/utils';
import type { Milliseconds } from '@apricotrill/utils';
import { AttemptStatus, CancelReason, GiveUpReason } from '../messages.js';
import type { LoadReport, ExecutionOutcome, ScheduledRequest } from '../messages.js';
import { ReplicaChooser } from '../ReplicaChooser/ReplicaChooser.js';
import { ReplicaTable } from '../ReplicaChooser/ReplicaTable.js';
import { SlotReserve } from '../SlotReserve/SlotReserve.js';
import { RetryBudget } from '../RetryBudget/RetryBudget.js';
import { RequestQueue } from '../RequestQueue/RequestQueue.js';
import { AttemptRunner } from './AttemptRunner.js';
import { getNextStep } from './getNextStep.js';
import { getServiceSnapshot } from './getServiceSnapshot.js';
import type { ServiceSnapshot } from './getServiceSnapshot.js';
import { ReplicaHealth } from './ReplicaHealth.js';
import { Phase, RequestRecord } from './RequestRecord.js';
import { RunningRequests } from './RunningRequests.js';
import type { ServiceSchedulerSettings } from './ServiceSchedulerSettings.js';
import { SlotFinder } from './SlotFinder.js';

interface GiveUpDetails {
  reason: GiveUpReason;
  /** Overrides the outcome that follows from the attempts of the request. */
  outcome?: ExecutionOutcome;
  retryAfter?: Milliseconds;
}

/**
 * Schedules the requests of one service.
 *
 * @internal
 */
export class ServiceScheduler {
  private readonly settings: ServiceSchedulerSettings;

  private readonly table: ReplicaTable;

  private readonly queue: RequestQueue;

  private readonly running: RunningRequests;

  private readonly attempts: AttemptRunner;

  private readonly slotFinder: SlotFinder;

  private readonly retryBudget: RetryBudget;

  private readonly replicaHealth: ReplicaHealth;

  private readonly reserve: SlotReserve;

  /**
   * The more urgent tier that the request being started overtakes, if it was selected because the
   * guaranteed minimum share (floor) of its class is due.
   */
  private overtakenTier: number | undefined;

  constructor(settings: ServiceSchedulerSettings) {
    const { clock, random, options } = settings;
    this.settings = settings;
    this.reserve = new SlotReserve(options);
    this.table = new ReplicaTable({
      ...settings,
      reserve: this.reserve,
      onAvailable: () => this.dispatchWaiting(),
    });
    this.running = new RunningRequests(options.maxPreemptions);
    this.attempts = new AttemptRunner({
      ...settings,
      table: this.table,
      running: this.running,
      onCancelTimeout: (record) => this.handleAttemptEnded(record, AttemptStatus.Cancelled),
      onFirstTokenLate: (record) => this.preempt(this.slotFinder.findVictimAtReplica(record)),
      onTimeout: (record) => {
        this.handleSilentPath(record.attempt!.state.id);
        this.attempts.cancel(record, CancelReason.Silent);
        this.dispatchWaiting();
      },
    });
    this.slotFinder = new SlotFinder(
      new ReplicaChooser(random, options),
      this.running,
      options.preemptingTier,
    );
    this.retryBudget = new RetryBudget(options, clock.now());
    this.queue = new RequestQueue({
      clock,
      options,
      random,
      start: (record) => this.start(record),
      onExpired: (record) => this.expire(record),
      onRequeued: () => this.dispatchWaiting(),
    });
    this.replicaHealth = new ReplicaHealth({
      clock,
      options,
      table: this.table,
      running: this.running,
      retryBudget: this.retryBudget,
      cancelAttempt: (record) => this.attempts.cancel(record, CancelReason.Straggling),
    });
  }

  submit(request: ScheduledRequest): void {
    const { options, records, clock } = this.settings;
    if (this.reserve.recordRequest(request.serviceClass.tier, clock.now())) {
      this.updateShares();
    }
    const isUrgent = request.serviceClass.tier <= options.urgentTier;
    const record = new RequestRecord(request, this.table.getPool(request.model), isUrgent);
    records.set(record.id, record);
    if (record.pool.eligible.size === 0) {
      this.giveUp(record, { reason: GiveUpReason.NoReplica });
      return;
    }
    const refusal = this.queue.getEarlyRefusal(record);
    if (refusal !== undefined) {
      this.giveUp(record, refusal);
      return;
    }
    const evictedId = this.queue.evictIfFull(record);
    if (evictedId !== undefined) {
      this.giveUp(records.get(evictedId)!, { reason: GiveUpReason.Overload });
    }
    if (evictedId !== record.id) {
      this.enqueue(record);
    }
  }

  handleCallerLeft(record: RequestRecord): void {
    if (record.phase === Phase.Waiting) {
      this.queue.remove(record);
    }
    if (record.phase === Phase.Running) {
      this.attempts.abandon(record);
    }
    this.removeRecord(record);
    this.dispatchWaiting();
  }

  handleProgress(record: RequestRecord, tokens: number): void {
    const { state } = record.attempt!;
    this.replicaHealth.recordSuccess(state);
    const measurement = record.recordProgress(tokens, this.settings.clock.now());
    if (
      measurement !== undefined &&
      this.replicaHealth.recordMeasurement(record, state, measurement)
    ) {
      this.dispatchWaiting();
    }
  }

  handleAttemptEnded(
    record: RequestRecord,
    status: AttemptStatus,
    retryAfter?: Milliseconds,
  ): void {
    const attempt = record.attempt!;
    if (record.phase === Phase.Running) {
      this.attempts.release(record);
    }
    record.endAttempt(status);
    if (status === AttemptStatus.Completed) {
      this.retryBudget.recordSuccess();
      this.replicaHealth.recordSuccess(attempt.state);
    } else if (!attempt.isFaultlessCancel) {
      record.recordFailure(attempt.state.id);
      this.replicaHealth.recordFailure(attempt.state, status, retryAfter);
    }
    this.applyNextStep(record, status, attempt.isFaultlessCancel);
    this.dispatchWaiting();
  }

  handleLoadReport(loadReport: LoadReport): void {
    const state = this.table.get(loadReport.replica);
    if (state !== undefined) {
      state.applyReport(loadReport, this.settings.clock.now(), this.settings.random);
      this.table.refresh(state);
      this.dispatchWaiting();
    }
  }

  setReplicas(replicas: readonly Replica[]): void {
    this.table.setReplicas(replicas);
    this.dispatchWaiting();
  }

  updateShares(): void {
    this.table.updateShares();
    this.dispatchWaiting();
  }

  setLeaving(replica: string, leaving: boolean): void {
    this.table.setLeaving(replica, leaving);
    this.dispatchWaiting();
  }

  handleSilentPath(replica: string): void {
    const state = this.table.get(replica);
    if (state !== undefined) {
      this.replicaHealth.recordSilence(state);
    }
  }

  getSnapshot(): ServiceSnapshot {
    const { service, clock } = this.settings;
    const { queue, running, retryBudget, table } = this;
    return getServiceSnapshot({ service, queue, running, retryBudget, table, now: clock.now() });
  }

  dispose(): void {
    this.table.dispose();
  }

  /** Starts all waiting requests that can run now. */
  private dispatchWaiting(): void {
    const { options, clock } = this.settings;
    const now = clock.now();
    while (
      this.queue.size > 0 &&
      this.queue.startNext(({ className, tier, pool }, isCredited) => {
        const overtakenTier = isCredited ? this.queue.getOvertakenTier(className) : undefined;
        this.overtakenTier = overtakenTier;
        const isUrgent = tier <= options.urgentTier;
        const members = this.table.getPool(pool === '' ? undefined : pool);
        return this.slotFinder.canStart(members, { tier, className, isUrgent, overtakenTier }, now);
      })
    );
  }

  /**
   * Queues a new request and starts it if it can run. After each message, no request that is still
   * waiting can start, so neither can a new one that needs the same replicas. Skipping the search
   * in this case saves most of the work under overload.
   */
  private enqueue(record: RequestRecord): void {
    const isBlocked = this.queue.isBlocked(record);
    this.queue.add(record);
    if (!isBlocked) {
      this.dispatchWaiting();
    }
  }

  private start(record: RequestRecord): Promise<void> {
    const { overtakenTier } = this;
    const className = record.request.serviceClass.name;
    const entitlement = {
      tier: record.tier,
      isUrgent: record.isUrgent,
      className,
      overtakenTier,
    };
    const slot = this.slotFinder.find(record, entitlement, this.settings.clock.now());
    if (slot === undefined) {
      this.queue.park(record);
      return Promise.resolve();
    }
    this.preempt(slot.victim);
    this.queue.recordDispatch(className);
    return new Promise((resolve) => {
      this.attempts.dispatch(record, { ...slot, priority: overtakenTier }, resolve);
    });
  }

  private preempt(victim: RequestRecord | undefined): boolean {
    victim?.recordPreemption();
    if (victim !== undefined) {
      this.attempts.cancel(victim, CancelReason.Preempted);
    }
    return victim !== undefined;
  }

  private applyNextStep(
    record: RequestRecord,
    status: AttemptStatus,
    isFaultlessCancel: boolean,
  ): void {
    const { clock, options, emit } = this.settings;
    const now = clock.now();
    const takeRetry = () => this.retryBudget.tryTake(now, record.isUrgent);
    const { maxFailures } = options;
    const step = getNextStep(record, {
      status,
      isFaultlessCancel,
      now,
      maxFailures,
      takeRetry,
    });
    switch (step.kind) {
      case 'done':
        this.removeRecord(record);
        emit({ kind: 'done', id: record.id });
        return;
      case 'give-up':
        this.giveUp(record, step);
        return;
      case 'retry':
        this.queue.add(record);
        return;
      default:
        throw exhaustiveSwitchError(step);
    }
  }

  private expire(record: RequestRecord): void {
    const hasNoReplica = record.pool.eligible.size === 0;
    this.giveUp(record, { reason: hasNoReplica ? GiveUpReason.NoReplica : GiveUpReason.Deadline });
  }

  private giveUp(
    record: RequestRecord,
    { reason, outcome = record.outcome, retryAfter }: GiveUpDetails,
  ): void {
    const delay = retryAfter ?? this.queue.getRetryAfter(record);
    this.removeRecord(record);
    this.settings.emit({ kind: 'give-up', id: record.id, outcome, reason, retryAfter: delay });
  }

  private removeRecord(record: RequestRecord): void {
    record.enterPhase(Phase.Over);
    this.settings.records.delete(record.id);
  }
}
