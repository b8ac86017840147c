import type { Clock } from '@apricotrill/utils';
import { isOnTimeAt } from '../isOnTimeAt.js';
import { KeepReason } from '../messages.js';
import type { PlacementEffect, CancelReason } from '../messages.js';
import type { Placing } from '../Placing/Placing.js';
import { PlacingResult } from '../Placing/Placing.js';
import type { Quarantine } from '../quarantine/Quarantine/Quarantine.js';
import type { ReplicaRegistry } from '../ReplicaRegistry/ReplicaRegistry.js';
import type { ServiceState } from '../ReplicaRegistry/ServiceState.js';
import type { RequestRecord } from '../RequestRecord.js';

/** Dependencies of {@link AttemptReplacements}. */
export interface AttemptReplacementsParts {
  clock: Clock;
  emit: (effect: PlacementEffect) => void;
  registry: ReplicaRegistry;
  quarantine: Pick<Quarantine, 'isUnderReview' | 'mayRepeat'>;
  placing: Pick<Placing, 'cancelQueries' | 'place'>;
}

/**
 * Replaces attempts that seem to get no response: a running attempt ends only when another one begins. Its
 * replica may be sound and go on, so that a request that cannot begin again keeps the attempt that it has.
 */
export class AttemptReplacements {
  constructor(private readonly parts: AttemptReplacementsParts) {}

  /**
   * Starts to replace the running attempt of a request, if it may begin again.
   *
   * @param reason - why the running attempt is cancelled once another one begins
   */
  start(record: RequestRecord, reason: CancelReason): void {
    const { request, sentAttempts, running, replacement } = record;
    const hasAttempts = sentAttempts + 1 < request.maxAttempts;
    if (running === undefined || replacement !== undefined || !request.isRetryable) {
      return;
    }
    if (!hasAttempts) {
      return;
    }
    const obstacle = this.findObstacle(record, reason);
    if (obstacle !== undefined) {
      this.keep(record, reason, obstacle);
      return;
    }
    record.resetQueries();
    Object.assign(record, { replacement: reason });
    this.place(record);
  }

  /** Places the replacement of an attempt, now or again after a query without a result. */
  place(record: RequestRecord): void {
    if (this.parts.placing.place(record) === PlacingResult.NoRoom) {
      this.abandon(record, KeepReason.NoReplica);
    }
  }

  /** Lets the running attempt of a request go on after all. */
  abandon(record: RequestRecord, because: KeepReason): void {
    const { clock, placing } = this.parts;
    const { replacement } = record;
    if (replacement !== undefined) {
      Object.assign(record, { replacement: undefined });
      placing.cancelQueries(record);
      this.getService(record).retryBudget.giveBack(clock.now());
      this.keep(record, replacement, because);
    }
  }

  private findObstacle(record: RequestRecord, reason: CancelReason): KeepReason | undefined {
    const { clock, quarantine } = this.parts;
    const { fingerprints, isTrial } = record;
    const service = this.getService(record);
    const now = clock.now();
    const backoffEnd = service.getBackoffEnd();
    const isBackedOff = backoffEnd !== undefined && !isOnTimeAt(record, backoffEnd);
    if (isBackedOff || service.getReplacements(record, reason, now).length === 0) {
      return KeepReason.NoReplica;
    }
    if (quarantine.isUnderReview(fingerprints) || !quarantine.mayRepeat(fingerprints, isTrial)) {
      return KeepReason.Suspect;
    }
    return service.retryBudget.tryTake(now) ? undefined : KeepReason.NoRetry;
  }

  private keep({ request, running }: RequestRecord, reason: CancelReason, because: KeepReason) {
    if (running !== undefined) {
      const { number: attempt } = running;
      this.parts.emit({ kind: 'keep', id: request.id, attempt, reason, because });
    }
  }

  private getService({ request }: RequestRecord): ServiceState {
    return this.parts.registry.getService(request.service);
  }
}
