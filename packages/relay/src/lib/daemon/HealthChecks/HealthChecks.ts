import type { Clock, Milliseconds, Timer } from '@apricotrill/utils';
import type { RelayReplica, RelayService } from '../../config/RelayConfiguration.js';
import type { PlacementMessage } from '../../decide/messages.js';
import { getErrorText } from '../../observe/getErrorText.js';
import type { RelayLog } from '../../observe/RelayEvent.js';
import type { IdentifyReplica } from '../../upstream/EndConfirmation/ReplicaIdentity.js';

/**
 * Checks the health of replicas.
 *
 * @public
 */
export interface HealthSource {
  /** Resolves to false if the replica is unhealthy or does not respond. */
  check(replica: RelayReplica, path: string, timeout: Milliseconds): Promise<boolean>;

  /** Checks an engine without occupying a slot. Resolves to false if it does not respond. */
  isAlive(replica: RelayReplica, timeout: Milliseconds): Promise<boolean>;

  /** Finds out whether the process of a replica still runs, by the path of its health check. */
  identify: IdentifyReplica;
}

/** Timing of the checks of suspect replicas. */
export const healthOptions = {
  /** Short, because most suspect replicas recover quickly. */
  initialDelay: 250 satisfies Milliseconds,
  /** Upper bound of the exponential backoff; each check is billed and occupies a slot. */
  maxDelay: 1_000 satisfies Milliseconds,
  /** Allows for the wait for a slot, which checks need like requests. */
  timeout: 400 satisfies Milliseconds,
};

/** Dependencies of {@link HealthChecks}. */
export interface HealthCheckParts {
  clock: Clock;
  log: RelayLog;
  source: Pick<HealthSource, 'check' | 'isAlive'>;
  dispatch: (message: PlacementMessage) => void;
  /** Counts a health check against the replica's limit. @returns false if the limit forbids it now */
  tryAcquireCheck: (replica: string) => boolean;
}

/** Checks suspect replicas until they are healthy, and the liveness of engines that send nothing. */
export class HealthChecks {
  private readonly timers = new Map<string, Timer>();

  private services = new Map<string, RelayService>();

  constructor(private readonly parts: HealthCheckParts) {}

  setServices(services: readonly RelayService[]): void {
    this.services = new Map(services.map((service) => [service.name, service]));
  }

  start(replica: RelayReplica): void {
    if (!this.timers.has(replica.id)) {
      this.schedule(replica, healthOptions.initialDelay);
    }
  }

  /** Checks once whether an engine is alive. */
  checkLiveness(replica: RelayReplica): void {
    const { source, dispatch } = this.parts;
    const result = source.isAlive(replica, healthOptions.timeout).catch(() => false);
    // An error means that the engine did not respond.
    result.then((isAlive) => dispatch({ kind: 'liveness-checked', replica: replica.id, isAlive }));
  }

  /** Cancels the checks of a replica that is no longer suspect. */
  stop(id: string): void {
    this.timers.get(id)?.cancel();
    this.timers.delete(id);
  }

  /** Cancels the checks of replicas that are not in the set. */
  retain(ids: ReadonlySet<string>): void {
    this.timers.forEach((timer, id) => {
      if (!ids.has(id)) {
        timer.cancel();
        this.timers.delete(id);
      }
    });
  }

  dispose(): void {
    this.retain(new Set());
  }

  private schedule(replica: RelayReplica, delay: Milliseconds): void {
    const timer = this.parts.clock.setTimer(delay, () => {
      this.check(replica, delay, timer).catch((error: unknown) => {
        this.logFault(error);
        this.scheduleNext(replica, delay, timer);
      });
    });
    this.timers.set(replica.id, timer);
  }

  private async check(replica: RelayReplica, delay: Milliseconds, timer: Timer): Promise<void> {
    if (!this.parts.tryAcquireCheck(replica.id)) {
      this.schedule(replica, healthOptions.maxDelay);
      return;
    }
    const path = this.services.get(replica.service)?.healthPath;
    const isHealthy =
      path !== undefined && (await this.parts.source.check(replica, path, healthOptions.timeout));
    if (!isHealthy) {
      this.scheduleNext(replica, delay, timer);
    } else if (this.timers.get(replica.id) === timer) {
      this.finish(replica);
    }
  }

  /** Schedules the check after one that has not ended well, unless the checks were cancelled. */
  private scheduleNext(replica: RelayReplica, delay: Milliseconds, timer: Timer): void {
    if (this.timers.get(replica.id) === timer) {
      this.schedule(replica, Math.min(healthOptions.maxDelay, delay * 2));
    }
  }

  /** Reports a healthy replica. After an error it may still be suspect, so that it is checked again. */
  private finish(replica: RelayReplica): void {
    this.timers.delete(replica.id);
    try {
      this.parts.dispatch({ kind: 'health', replica: replica.id, isHealthy: true });
    } catch (error) {
      this.logFault(error);
      this.start(replica);
    }
  }

  private logFault(error: unknown): void {
    this.parts.log({ event: 'fault', step: 'check a replica', error: getErrorText(error) });
  }
}
