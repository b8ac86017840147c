import type { Clock, Milliseconds, Timer } from '@apricotrill/utils';
import type { RelayReplica, RelayService } from '../../config/RelayConfiguration.js';
import type { PlacementMessage } from '../../decide/messages.js';
import { isListening } from '../../upstream/isListening.js';

/**
 * Asks a replica whether it works.
 *
 * @public
 */
export interface HealthSource {
  /** Resolves to false also where no answer came. */
  check(replica: RelayReplica, path: string, timeout: Milliseconds): Promise<boolean>;

  /** Asks an engine in a way that needs no slot; resolves to false also where no answer came. */
  isAlive(replica: RelayReplica, timeout: Milliseconds): Promise<boolean>;
}

/** How suspect replicas are asked. */
export const healthOptions = {
  /** The first question follows soon: most suspicions are of a moment. */
  firstPause: 250 satisfies Milliseconds,
  /** The pause doubles up to this: each question is priced and takes a slot. */
  longestPause: 1_000 satisfies Milliseconds,
  /** A question waits for a slot like a request. */
  timeout: 400 satisfies Milliseconds,
};

/** What the checks are made of. */
export interface HealthCheckParts {
  clock: Clock;
  source: HealthSource;
  tell: (message: PlacementMessage) => void;
  /** Counts a health check against the replica's limit. @returns false if the limit forbids it now */
  tryAcquireCheck: (replica: string) => boolean;
}

/** Asks suspect replicas until they answer that they work, and silent engines whether they live. */
export class HealthChecks {
  private readonly timers = new Map<string, Timer>();

  private services = new Map<string, RelayService>();

  constructor(private readonly parts: HealthCheckParts) {}

  setServices(services: readonly RelayService[]): void {
    this.services = new Map(services.map((service) => [service.name, service]));
  }

  add(replica: RelayReplica): void {
    if (!this.timers.has(replica.id)) {
      this.schedule(replica, healthOptions.firstPause);
    }
  }

  /** Asks an engine once whether it lives. */
  question(replica: RelayReplica): void {
    const { source, tell } = this.parts;
    const answer = source.isAlive(replica, healthOptions.timeout).catch(() => false);
    // A source that throws has no answer of the engine, which is what is told.
    answer.then((isAlive) => tell({ kind: 'liveness-checked', replica: replica.id, isAlive }));
  }

  /** Checks once whether a replica with broken attempts still accepts connections. */
  async probe({ id, address }: RelayReplica): Promise<void> {
    const isUp = await isListening(address, healthOptions.timeout);
    this.parts.tell({ kind: 'probed', replica: id, isUp });
  }

  /** Asks no more after replicas that are gone. */
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

  private schedule(replica: RelayReplica, pause: Milliseconds): void {
    const timer = this.parts.clock.setTimer(pause, () => this.check(replica, pause, timer));
    this.timers.set(replica.id, timer);
  }

  private async check(replica: RelayReplica, pause: Milliseconds, timer: Timer): Promise<void> {
    if (!this.parts.tryAcquireCheck(replica.id)) {
      this.schedule(replica, healthOptions.longestPause);
      return;
    }
    const path = this.services.get(replica.service)?.healthPath;
    const isHealthy =
      path !== undefined && (await this.parts.source.check(replica, path, healthOptions.timeout));
    if (this.timers.get(replica.id) !== timer) {
      return;
    }
    if (isHealthy) {
      this.timers.delete(replica.id);
      this.parts.tell({ kind: 'health', replica: replica.id, isHealthy });
    } else {
      this.schedule(replica, Math.min(healthOptions.longestPause, pause * 2));
    }
  }
}
