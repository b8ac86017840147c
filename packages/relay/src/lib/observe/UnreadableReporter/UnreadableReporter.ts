import type { Clock, Milliseconds } from '@apricotrill/utils';
import type { UnreadableField, UnreadableKind } from '../../protocol/UnreadableField.js';
import type { RelayLog } from '../RelayEvent.js';
import type { RelayMetrics } from '../RelayMetrics.js';

/** Limits on the log lines about unreadable statements. */
export const unreadableOptions = {
  /** Time between two lines of one kind. */
  interval: 10_000 satisfies Milliseconds,
  /** Characters of the statement in a line. */
  maxTextLength: 120,
};

/** Dependencies of {@link UnreadableReporter}. */
export interface UnreadableReporterParts {
  clock: Pick<Clock, 'now'>;
  log: RelayLog;
  metrics: Pick<RelayMetrics, 'unreadable'>;
}

interface KindReports {
  loggedAt: Milliseconds;
  /** Statements since then. */
  count: number;
}

/**
 * Counts statements of callers and replicas that could not be read, and logs a line of each kind now and
 * then. What a peer states wrongly it states with every message, and nobody would notice that the daemon
 * decides without it.
 *
 * @example
 * ```ts
 * reporter.report('replica i-1', [{ kind: UnreadableKind.Load, text: '3,0' }]);
 * ```
 */
export class UnreadableReporter {
  private readonly reports = new Map<UnreadableKind, KindReports>();

  constructor(private readonly parts: UnreadableReporterParts) {}

  /** @param source - who made the statements, for the log */
  report(source: string, fields: readonly UnreadableField[] = []): void {
    fields.forEach((field) => this.reportField(source, field));
  }

  private reportField(source: string, { kind, text }: UnreadableField): void {
    const { clock, log, metrics } = this.parts;
    const now = clock.now();
    const last = this.reports.get(kind);
    const count = (last?.count ?? 0) + 1;
    metrics.unreadable.inc({ kind });
    if (last !== undefined && now - last.loggedAt < unreadableOptions.interval) {
      last.count = count;
      return;
    }
    this.reports.set(kind, { loggedAt: now, count: 0 });
    const shown = text.slice(0, unreadableOptions.maxTextLength);
    log({ event: 'unreadable', kind, source, text: shown, count });
  }
}
