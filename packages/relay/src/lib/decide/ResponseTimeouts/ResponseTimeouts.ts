import type { Clock, Milliseconds } from '@apricotrill/utils';
import { RouteKind } from '../../config/RelayConfiguration.js';
import { CancelReason } from '../messages.js';
import type { PlacementRequest } from '../messages.js';
import type { PlacementOptions } from '../placementOptions.js';
import type { ReplicaRegistry } from '../ReplicaRegistry/ReplicaRegistry.js';
import type { RequestRecord, RunningAttempt } from '../RequestRecord.js';

/** Constructor arguments of {@link ResponseTimeouts}. */
export interface ResponseTimeoutsSettings {
  clock: Clock;
  /** Moves a request to another replica, if it may begin there. */
  replace: (record: RequestRecord, reason: CancelReason) => void;
  options: PlacementOptions;
  registry: ReplicaRegistry;
}

/**
 * Limits the wait for the first byte of an attempt if another replica can still respond in time,
 * and detects replicas that have become unresponsive.
 */
export class ResponseTimeouts {
  constructor(private readonly settings: ResponseTimeoutsSettings) {}

  /** Schedules the check of an attempt that has just been sent. */
  start(record: RequestRecord, attempt: RunningAttempt): void {
    this.scheduleCheck(this.getTimeout(record.request), record, attempt);
  }

  private getTimeout({ kind, latencyTarget }: PlacementRequest): Milliseconds {
    const { plainSilence, streamSilence } = this.settings.options;
    return latencyTarget * (kind === RouteKind.Stream ? streamSilence : plainSilence);
  }

  private scheduleCheck(delay: Milliseconds, record: RequestRecord, attempt: RunningAttempt): void {
    record.setSilenceTimer(this.settings.clock.setTimer(delay, () => this.check(record, attempt)));
  }

  private check(record: RequestRecord, attempt: RunningAttempt): void {
    const { registry, clock, options, replace } = this.settings;
    if (record.running !== attempt || attempt.isResponding) {
      return;
    }
    if (attempt.state.isUnresponsive(clock.now())) {
      registry.recordSilence(attempt.state);
    }
    if (this.mayEndEarly(attempt)) {
      replace(record, CancelReason.Silent);
    }
    if (record.running === attempt) {
      // Checked again later, because an unresponsive replica is detected by the attempts sent to
      // it.
      this.scheduleCheck(options.darkAfter, record, attempt);
    }
  }

  /**
   * Whether the attempt may be ended for its silence. A fragile replica may go on with it, and its slot would
   * be taken twice, so that only a replica that sends nothing to anyone gives up its attempts.
   */
  private mayEndEarly({ state }: RunningAttempt): boolean {
    const { clock, registry } = this.settings;
    const { isFragile } = registry.getService(state.replica.service);
    return !isFragile || state.isUnresponsive(clock.now());
  }
}
