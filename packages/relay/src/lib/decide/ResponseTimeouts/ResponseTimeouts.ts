import type { Clock, Milliseconds } from '@apricotrill/utils';
import { RouteKind } from '../../config/RelayConfiguration.js';
import { CancelReason } from '../messages.js';
import type { PlacementEffect, PlacementRequest } from '../messages.js';
import type { PlacementOptions } from '../placementOptions.js';
import type { ReplicaRegistry } from '../ReplicaRegistry/ReplicaRegistry.js';
import type { RequestRecord, RunningAttempt } from '../RequestRecord.js';

/** What the watch is made of. */
export interface ResponseTimeoutsParts {
  clock: Clock;
  emit: (effect: PlacementEffect) => void;
  options: PlacementOptions;
  registry: ReplicaRegistry;
}

/**
 * Bounds the wait for the first byte of an attempt where another replica may still answer in time,
 * and notices replicas from which nothing comes any more.
 */
export class ResponseTimeouts {
  constructor(private readonly parts: ResponseTimeoutsParts) {}

  /** Looks at an attempt that has just been sent, once it should have answered. */
  start(record: RequestRecord, attempt: RunningAttempt): void {
    this.lookAfter(this.getSilence(record.request), record, attempt);
  }

  private getSilence({ kind, latencyTarget }: PlacementRequest): Milliseconds {
    const { plainSilence, streamSilence } = this.parts.options;
    return latencyTarget * (kind === RouteKind.Stream ? streamSilence : plainSilence);
  }

  private lookAfter(span: Milliseconds, record: RequestRecord, attempt: RunningAttempt): void {
    record.setSilenceTimer(this.parts.clock.setTimer(span, () => this.look(record, attempt)));
  }

  private look(record: RequestRecord, attempt: RunningAttempt): void {
    const { registry: book, clock, emit, options } = this.parts;
    if (record.running !== attempt || attempt.isAnswering) {
      return;
    }
    if (attempt.state.isDark(clock.now())) {
      book.recordSilence(attempt.state);
    }
    if (!this.mayGoElsewhere(record)) {
      // Again later: a replica that went dark is noticed by what was sent to it.
      this.lookAfter(options.darkAfter, record, attempt);
      return;
    }
    emit({
      kind: 'cancel',
      id: record.request.id,
      attempt: attempt.number,
      reason: CancelReason.Silent,
    });
  }

  private mayGoElsewhere({
    request,
    sentAttempts: sent,
    triedReplicas: tried,
  }: RequestRecord): boolean {
    const now = this.parts.clock.now();
    const service = this.parts.registry.getService(request.service);
    const others = service.getCandidates(tried, now);
    const hasOther = others.some(({ replica }) => !tried.has(replica.id));
    return (
      request.repeatable &&
      sent + 1 < request.maxAttempts &&
      hasOther &&
      service.retryBudget.getRemaining(now) >= 1
    );
  }
}
