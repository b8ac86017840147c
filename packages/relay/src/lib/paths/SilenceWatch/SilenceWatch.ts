import type { Clock, Milliseconds, Timer } from '@apricotrill/utils';
import type { RelayReplica } from '../../config/RelayConfiguration.js';
import { ProbeResult } from '../../decide/messages.js';
import { getErrorText } from '../../observe/getErrorText.js';
import type { RelayLog } from '../../observe/RelayEvent.js';
import { pathOptions } from '../pathOptions.js';

/** An attempt in flight. */
export interface WatchedAttempt {
  readonly replica: RelayReplica;
  /** Time since the replica last sent something over a direct connection; 0 if there is none. */
  getDirectSilence(now: Milliseconds): Milliseconds;
}

/** Dependencies of {@link SilenceWatch}. */
export interface SilenceWatchParts {
  clock: Clock;
  log: RelayLog;
  /** Time since any replica last sent something. */
  getSilence: () => Milliseconds;
  probe: (replica: RelayReplica) => Promise<ProbeResult>;
}

/** Replicas that must be silent at the same time; a single one may just be busy. */
const SILENT_REPLICAS = 2;

/**
 * Probes paths when all attempts in flight are silent. Requests on connections that a partition has
 * silenced fail only at their deadline, and no new connection shows the loss while there are idle ones.
 */
export class SilenceWatch {
  private readonly attempts = new Set<WatchedAttempt>();

  private timer: Timer | undefined;

  private isProbing = false;

  private notBefore: Milliseconds = 0;

  private backoff = pathOptions.minSilenceBackoff;

  constructor(private readonly parts: SilenceWatchParts) {}

  add(attempt: WatchedAttempt): void {
    this.attempts.add(attempt);
    this.schedule();
  }

  remove(attempt: WatchedAttempt): void {
    this.attempts.delete(attempt);
  }

  dispose(): void {
    this.timer?.cancel();
    this.attempts.clear();
  }

  private schedule(): void {
    this.timer ??= this.parts.clock.setTimer(pathOptions.silenceCheckInterval, () => {
      this.timer = undefined;
      // Errors must not end the checks: attempts would be silent until their deadlines.
      try {
        this.check();
      } catch (error) {
        this.logFault(error);
      }
      if (this.attempts.size > 0) {
        this.schedule();
      }
    });
  }

  private check(): void {
    const { clock, getSilence } = this.parts;
    const now = clock.now();
    if (this.isProbing || now < this.notBefore || getSilence() < pathOptions.maxSilence) {
      return;
    }
    const silent = new Map<string, RelayReplica>();
    this.attempts.forEach((attempt) => {
      if (attempt.getDirectSilence(now) >= pathOptions.maxSilence) {
        silent.set(attempt.replica.id, attempt.replica);
      }
    });
    if (silent.size >= SILENT_REPLICAS) {
      this.isProbing = true;
      this.probe([...silent.values()].slice(0, SILENT_REPLICAS))
        .catch((error: unknown) => this.logFault(error))
        .finally(() => {
          this.isProbing = false;
        });
    }
  }

  private async probe(replicas: readonly RelayReplica[]): Promise<void> {
    const results = await Promise.all(replicas.map((replica) => this.parts.probe(replica)));
    if (results.includes(ProbeResult.PathLost)) {
      this.backoff = pathOptions.minSilenceBackoff;
      return;
    }
    this.notBefore = this.parts.clock.now() + this.backoff;
    this.backoff = Math.min(this.backoff * 2, pathOptions.maxSilenceBackoff);
  }

  private logFault(error: unknown): void {
    this.parts.log({ event: 'fault', step: 'probe silent replicas', error: getErrorText(error) });
  }
}
