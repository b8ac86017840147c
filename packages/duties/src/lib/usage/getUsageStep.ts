import type { Milliseconds } from '@apricotrill/utils';
import type { FleetUsage } from './FleetUsage/FleetUsage.js';
import type { UsageEntry, UsageLedger } from './UsageLedger.js';
import { getWindow, getWindowEnd } from './SourceUsage.js';

/** The next step of the lease holder. */
export type UsageStep =
  /** Fixes the counts to report, by a conditional write of the ledger. */
  | { kind: 'settle'; ledger: UsageLedger; settled: UsageEntry[]; missed: number[] }
  | { kind: 'report'; entry: UsageEntry }
  | { kind: 'wait'; until: Milliseconds };

export interface UsageStepInput {
  /** The stored ledger, including reports that are not marked in the store yet. */
  ledger: UsageLedger;
  usage: FleetUsage;
  /** Unix milliseconds. */
  now: Milliseconds;
  /** When this daemon started to count and to receive the counts of others. */
  startedAt: Milliseconds;
  windowSpan: Milliseconds;
  /** Time after the end of a window by which its report is due. */
  reportDeadline: Milliseconds;
  /** Time after the end of a window during which late counts are still accepted. */
  settleDelay: Milliseconds;
}

/** Entries older than this are dropped from the ledger, whether or not they were reported. */
const LEDGER_RETENTION: Milliseconds = 120_000;

/** Returns the windows that can be settled and are not in the ledger yet. */
function getUnsettledWindows(input: UsageStepInput): number[] {
  const { ledger, now, startedAt, windowSpan, settleDelay } = input;
  const lastWindow = getWindow(now - settleDelay, windowSpan) - 1;
  const settled = ledger.entries.map(({ window }) => window);
  const firstWindow = Math.max(
    settled.length === 0 ? getWindow(startedAt, windowSpan) : Math.max(...settled) + 1,
    getWindow(now - LEDGER_RETENTION, windowSpan),
  );
  return Array.from(
    { length: Math.max(0, lastWindow - firstWindow + 1) },
    (_, index) => firstWindow + index,
  );
}

/**
 * Whether the usage of a window is known. A missing count means zero usage only if the window ended
 * after this daemon started.
 */
function isKnown({ usage, startedAt, windowSpan }: UsageStepInput, window: number): boolean {
  return usage.has(window) || getWindowEnd(window, windowSpan) > startedAt;
}

/** Prefers reports that can still meet their deadline, the oldest first; overdue ones follow. */
function getNextReport({
  ledger,
  now,
  windowSpan,
  reportDeadline,
}: UsageStepInput): UsageEntry | undefined {
  const unreported = ledger.entries.filter(({ isReported }) => !isReported);
  const isInTime = ({ window }: UsageEntry) =>
    getWindowEnd(window, windowSpan) + reportDeadline > now;
  return unreported.find(isInTime) ?? unreported[0];
}

/**
 * Decides the next step of the lease holder: settle windows, report one, or wait.
 *
 * The counts of a window come from every daemon, and some daemons are killed or cut off before they
 * have sent all of them. The holder may be replaced between any two calls. The counts are therefore
 * written to the ledger before they are reported, so that a successor repeats the same report.
 */
export function getUsageStep(input: UsageStepInput): UsageStep {
  const { ledger, now, settleDelay, usage, windowSpan } = input;
  const unsettled = getUnsettledWindows(input);
  const known = unsettled.filter((window) => isKnown(input, window));
  if (known.length > 0) {
    const settled = known.map((window) => ({
      window,
      counts: usage.getCounts(window),
      isReported: false,
    }));
    const oldestWindow = getWindow(now - LEDGER_RETENTION, windowSpan);
    const retained = ledger.entries.filter(({ window }) => window >= oldestWindow);
    const missed = unsettled.filter((window) => !known.includes(window));
    return { kind: 'settle', ledger: { entries: [...retained, ...settled] }, settled, missed };
  }
  const entry = getNextReport(input);
  if (entry !== undefined) {
    return { kind: 'report', entry };
  }
  const current = getWindow(now - settleDelay, windowSpan);
  return { kind: 'wait', until: getWindowEnd(current, windowSpan) + settleDelay };
}
