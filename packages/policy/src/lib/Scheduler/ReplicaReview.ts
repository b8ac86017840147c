import type { Clock, Milliseconds } from '@apricotrill/utils';
import { AttemptStatus } from '../messages.js';
import type { PolicyOptions } from '../policyOptions.js';
import type { ReplicaPool } from '../ReplicaChooser/ReplicaPool.js';
import type { ReplicaState } from '../ReplicaChooser/ReplicaState.js';
import type { ReplicaTable } from '../ReplicaChooser/ReplicaTable.js';
import { StragglerDetector, Verdict } from '../ReplicaChooser/StragglerDetector.js';
import type { RetryBudget } from '../RetryBudget/RetryBudget.js';
import type { Measurement } from './Attempt.js';
import type { RequestRecord } from './RequestRecord.js';
import type { RunningRequests } from './RunningRequests.js';

/**
 * What the review is made of.
 *
 * @internal
 */
export interface ReplicaReviewParts {
  clock: Clock;
  options: PolicyOptions;
  table: ReplicaTable;
  running: RunningRequests;
  budget: RetryBudget;
  /** Stops an attempt at a replica that is too slow. */
  cancel: (record: RequestRecord) => void;
}

/**
 * Draws conclusions about replicas from what happens to attempts at them.
 *
 * @internal
 */
export class ReplicaReview {
  private readonly parts: ReplicaReviewParts;

  private readonly detectors = new Map<ReplicaPool, StragglerDetector>();

  constructor(parts: ReplicaReviewParts) {
    this.parts = parts;
  }

  /** Notes that an attempt went well so far. */
  noteSuccess(state: ReplicaState): void {
    if (state.succeed()) {
      this.parts.table.refresh(state);
    }
  }

  /** Notes that an attempt failed, and avoids its replica if that is likely to happen again. */
  noteFailure(state: ReplicaState, end: AttemptStatus, retryAfter: Milliseconds | undefined): void {
    const { clock, options, table } = this.parts;
    const now = clock.now();
    const until =
      end === AttemptStatus.Refused
        ? now + Math.min(options.maxAvoidance, retryAfter ?? options.avoidance)
        : state.fail(now, end === AttemptStatus.NotSent);
    if (until !== undefined) {
      table.avoid(state, until);
    }
  }

  /** Notes that a path to the replica went silent: it condemns the path, the replica may be well. */
  noteSilence(state: ReplicaState): void {
    const { clock, options, table } = this.parts;
    table.avoid(state, clock.now() + options.silenceAvoidance);
  }

  /**
   * Compares a replica with its peers.
   *
   * @returns whether it was convicted or acquitted
   */
  noteMeasurement(
    record: RequestRecord,
    state: ReplicaState,
    { delay, value }: Measurement,
  ): boolean {
    const now = this.parts.clock.now();
    const { name } = record.request.serviceClass;
    const verdict = this.getDetector(record.pool).observe(state, delay, name, value, now);
    if (verdict === Verdict.Unchanged) {
      return false;
    }
    if (verdict === Verdict.Convicted) {
      state.convict(now);
      this.parts.table.refresh(state);
      this.moveAway(state, now);
    } else {
      state.acquit();
      this.parts.table.refresh(state);
    }
    return true;
  }

  /** Takes the requests that run at a convicted replica to its peers, within the retry budget. */
  private moveAway(state: ReplicaState, now: Milliseconds): void {
    const { running, budget, cancel } = this.parts;
    running.getAt(state).forEach((record) => {
      const isWorthIt = record.canGoOn && !record.hasMoved && record.pool.open.size > 0;
      if (isWorthIt && budget.take(now, record.isUrgent)) {
        record.move(state.id);
        cancel(record);
      }
    });
  }

  private getDetector(pool: ReplicaPool): StragglerDetector {
    const known = this.detectors.get(pool);
    if (known !== undefined) {
      return known;
    }
    const detector = new StragglerDetector(pool, this.parts.options);
    this.detectors.set(pool, detector);
    return detector;
  }
}
