import type { Clock, Milliseconds } from '@apricotrill/utils';
import { AttemptStatus } from '../messages.js';
import type { PolicyOptions } from '../policyOptions.js';
import type { ReplicaPool } from '../ReplicaChooser/ReplicaPool.js';
import type { ReplicaState } from '../ReplicaChooser/ReplicaState.js';
import type { ReplicaTable } from '../ReplicaChooser/ReplicaTable.js';
import { StragglerDetector, StragglerVerdict } from '../ReplicaChooser/StragglerDetector.js';
import type { RetryBudget } from '../RetryBudget/RetryBudget.js';
import type { Measurement } from './Attempt.js';
import type { RequestRecord } from './RequestRecord.js';
import type { RunningRequests } from './RunningRequests.js';

/**
 * Constructor arguments of a `ReplicaHealth`.
 *
 * @internal
 */
export interface ReplicaHealthSettings {
  clock: Clock;
  options: PolicyOptions;
  table: ReplicaTable;
  running: RunningRequests;
  retryBudget: RetryBudget;
  /** Cancels the running attempt of a request because its replica is a straggler. */
  cancelAttempt: (record: RequestRecord) => void;
}

/**
 * Judges the health of replicas by the results and latencies of the attempts sent to them.
 *
 * @internal
 */
export class ReplicaHealth {
  private readonly settings: ReplicaHealthSettings;

  private readonly detectors = new Map<ReplicaPool, StragglerDetector>();

  constructor(settings: ReplicaHealthSettings) {
    this.settings = settings;
  }

  /** Records that an attempt has made progress or completed. */
  recordSuccess(state: ReplicaState): void {
    if (state.recordSuccess()) {
      this.settings.table.refresh(state);
    }
  }

  /** Records a failed attempt, and avoids the replica for a while if it is likely to fail again. */
  recordFailure(
    state: ReplicaState,
    status: AttemptStatus,
    retryAfter: Milliseconds | undefined,
  ): void {
    const { clock, options, table } = this.settings;
    const now = clock.now();
    const until =
      status === AttemptStatus.Refused
        ? now + Math.min(options.maxCooldown, retryAfter ?? options.cooldown)
        : state.recordFailure(now, status === AttemptStatus.NotSent);
    if (until !== undefined) {
      table.startCooldown(state, until);
    }
  }

  /**
   * Records that a network path to the replica stopped responding. The replica itself may be
   * healthy, so it is avoided only briefly.
   */
  recordSilence(state: ReplicaState): void {
    const { clock, options, table } = this.settings;
    table.startCooldown(state, clock.now() + options.silenceCooldown);
  }

  /**
   * Records a latency measurement and compares the replica with others of its pool.
   *
   * @returns whether the replica was marked as a straggler, or cleared as one
   */
  recordMeasurement(
    record: RequestRecord,
    state: ReplicaState,
    { delay, value }: Measurement,
  ): boolean {
    const now = this.settings.clock.now();
    const { name } = record.request.serviceClass;
    const verdict = this.getDetector(record.pool).recordDelay(state, delay, name, value, now);
    if (verdict === StragglerVerdict.Unchanged) {
      return false;
    }
    if (verdict === StragglerVerdict.Straggling) {
      state.markStraggler(now);
      this.settings.table.refresh(state);
      this.moveRequestsAway(state, now);
    } else {
      state.clearStraggler();
      this.settings.table.refresh(state);
    }
    return true;
  }

  /** Moves the requests running at a straggler to other replicas, within the retry budget. */
  private moveRequestsAway(state: ReplicaState, now: Milliseconds): void {
    const { running, retryBudget, cancelAttempt } = this.settings;
    running.getAtReplica(state).forEach((record) => {
      const shouldMove = record.canMove && !record.hasMoved && record.pool.available.size > 0;
      if (shouldMove && retryBudget.tryTake(now, record.isUrgent)) {
        record.recordMove(state.id);
        cancelAttempt(record);
      }
    });
  }

  private getDetector(pool: ReplicaPool): StragglerDetector {
    const existing = this.detectors.get(pool);
    if (existing !== undefined) {
      return existing;
    }
    const detector = new StragglerDetector(pool, this.settings.options);
    this.detectors.set(pool, detector);
    return detector;
  }
}
