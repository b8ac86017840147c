import type { Milliseconds } from '@apricotrill/utils';
import type { FleetUsage } from './FleetUsage/FleetUsage.js';
import type { UsageEntry, UsageLedger } from './UsageLedger.js';
import { getWindow, getWindowEnd } from './SourceUsage.js';

/** What a holder does next for the usage. */
export type UsageStep =
  /** Decides what is reported, by a conditional write. */
  | { kind: 'settle'; ledger: UsageLedger; settled: UsageEntry[]; missed: number[] }
  | { kind: 'report'; entry: UsageEntry }
  | { kind: 'wait'; until: Milliseconds };

/** What the next step depends on. */
export interface UsageSituation {
  /** As it lies at the store, with what was reported since. */
  ledger: UsageLedger;
  usage: FleetUsage;
  /** Unix milliseconds. */
  now: Milliseconds;
  /** Since when this daemon has counted and heard others. */
  since: Milliseconds;
  windowSpan: Milliseconds;
  /** How long after a window's end its report is due. */
  delay: Milliseconds;
  /** How long after a window's end late counts are waited for. */
  settleDelay: Milliseconds;
}

/** Entries older than this are dropped from the ledger, whether they could be reported or not. */
const RETENTION: Milliseconds = 120_000;

/** Windows that ended long enough ago and are not in the ledger. */
function getUnsettled(situation: UsageSituation): number[] {
  const { ledger, now, since, windowSpan, settleDelay } = situation;
  const last = getWindow(now - settleDelay, windowSpan) - 1;
  const settled = ledger.entries.map(({ window }) => window);
  const first = Math.max(
    settled.length === 0 ? getWindow(since, windowSpan) : Math.max(...settled) + 1,
    getWindow(now - RETENTION, windowSpan),
  );
  return Array.from({ length: Math.max(0, last - first + 1) }, (_, index) => first + index);
}

/** Whether anything is known of a window: silence of all says nothing of a time before this life. */
function isKnown({ usage, since, windowSpan }: UsageSituation, window: number): boolean {
  return usage.has(window) || getWindowEnd(window, windowSpan) > since;
}

/** Reports that can still be in time come first, by deadline; late ones follow. */
function getNextReport({ ledger, now, windowSpan, delay }: UsageSituation): UsageEntry | undefined {
  const open = ledger.entries.filter(({ isReported }) => !isReported);
  const isInTime = ({ window }: UsageEntry) => getWindowEnd(window, windowSpan) + delay > now;
  return open.find(isInTime) ?? open[0];
}

/**
 * Decides what a holder does next: settle windows, report one, or wait.
 *
 * Load pattern: a window's counts come from every daemon, some of which are killed or cut off before
 * they told all, and the holder may be replaced between any two calls. What is reported is written
 * down first, so that whoever goes on repeats it exactly.
 */
export function getUsageStep(situation: UsageSituation): UsageStep {
  const { ledger, now, settleDelay, usage, windowSpan } = situation;
  const unsettled = getUnsettled(situation);
  const known = unsettled.filter((window) => isKnown(situation, window));
  if (known.length > 0) {
    const settled = known.map((window) => ({
      window,
      counts: usage.getCounts(window),
      isReported: false,
    }));
    const oldest = getWindow(now - RETENTION, windowSpan);
    const kept = ledger.entries.filter(({ window }) => window >= oldest);
    const missed = unsettled.filter((window) => !known.includes(window));
    return { kind: 'settle', ledger: { entries: [...kept, ...settled] }, settled, missed };
  }
  const entry = getNextReport(situation);
  if (entry !== undefined) {
    return { kind: 'report', entry };
  }
  const current = getWindow(now - settleDelay, windowSpan);
  return { kind: 'wait', until: getWindowEnd(current, windowSpan) + settleDelay };
}
