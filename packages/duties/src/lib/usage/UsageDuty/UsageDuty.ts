import type { LeaseManager, LeaseStore } from '@apricotrill/lease';
import type { Clock, Milliseconds } from '@apricotrill/utils';
import { CallResult } from '../../DutyPlatform.js';
import type { DutyPlatform } from '../../DutyPlatform.js';
import type { DutyLog } from '../../DutyEvent.js';
import type { DutyOptions } from '../../dutyOptions.js';
import type { FleetUsage } from '../FleetUsage/FleetUsage.js';
import { getUsageStep } from '../getUsageStep.js';
import type { UsageStep } from '../getUsageStep.js';
import { parseLedger } from '../UsageLedger.js';
import type { UsageEntry, UsageLedger } from '../UsageLedger.js';
import { getWindowEnd } from '../SourceUsage.js';

export interface UsageDutySettings {
  self: string;
  clock: Clock;
  /** Unix milliseconds, corrected by the clocks of the other daemons. */
  getFleetTime: () => Milliseconds;
  lease: LeaseManager;
  store: LeaseStore;
  platform: DutyPlatform;
  usage: FleetUsage;
  windowSpan: Milliseconds;
  /** Time after the end of a window by which its report is due. */
  reportDeadline: Milliseconds;
  options: DutyOptions;
  log: DutyLog;
}

/** Numbers of windows that were reported and that were missed. */
export interface UsageReportCounters {
  reported: number;
  missed: number;
}

const LEDGER_KEY = 'usage/ledger';

/** The ledger as last read from or written to the store. */
interface StoredLedger {
  ledger: UsageLedger;
  version: number;
}

/**
 * Settles and reports the usage of each window while this daemon holds the lease.
 *
 * @internal
 */
export class UsageDuty {
  readonly counters: UsageReportCounters = { reported: 0, missed: 0 };

  private readonly startedAt: Milliseconds;

  private stored: StoredLedger | undefined;

  /**
   * Windows that this daemon has reported. The stored ledger marks them as reported only when the
   * next window is settled.
   */
  private readonly reportedWindows = new Set<number>();

  /**
   * The windows that this daemon has settled. They are reported with the same counts even if the store
   * comes back from a copy that is older than the ledger.
   */
  private readonly settledEntries = new Map<number, UsageEntry>();

  constructor(private readonly settings: UsageDutySettings) {
    this.startedAt = settings.getFleetTime();
  }

  /** Discards the cached ledger: another holder may have changed it since. */
  reset(): void {
    this.stored = undefined;
  }

  /**
   * Performs the next step that is due.
   *
   * @returns the time until the next step
   * @throws StepError when the store or the platform did not respond
   */
  async runStep(): Promise<Milliseconds> {
    if (this.stored === undefined) {
      this.stored = await this.readLedger();
      return 0;
    }
    const step = this.getNextStep(this.stored.ledger);
    switch (step.kind) {
      case 'settle':
        await this.settleWindows(step, this.stored.version);
        return 0;
      case 'report':
        return this.reportWindow(step, this.stored.ledger);
      case 'wait':
        return Math.max(0, step.until - this.settings.getFleetTime());
      default:
        return step satisfies never;
    }
  }

  private getNextStep(ledger: UsageLedger): UsageStep {
    const { getFleetTime, usage, windowSpan, reportDeadline, options } = this.settings;
    return getUsageStep({
      ledger,
      usage,
      now: getFleetTime(),
      startedAt: this.startedAt,
      windowSpan,
      reportDeadline,
      settleDelay: options.settleDelay,
    });
  }

  private async readLedger(): Promise<StoredLedger> {
    const object = await this.settings.store.get(LEDGER_KEY);
    const stored = object === undefined ? [] : parseLedger(object.value).entries;
    const missing = [...this.settledEntries.values()].filter(
      ({ window }) => !stored.some((entry) => entry.window === window),
    );
    const entries = [...stored, ...missing]
      .sort((left, right) => left.window - right.window)
      .map((entry) => ({
        ...entry,
        isReported: entry.isReported || this.reportedWindows.has(entry.window),
      }));
    return { ledger: { entries }, version: object?.version ?? 0 };
  }

  private async settleWindows(
    { ledger, settled, missed }: Extract<UsageStep, { kind: 'settle' }>,
    version: number,
  ): Promise<void> {
    const { log, store, usage } = this.settings;
    // The stored ledger is unknown until the write is confirmed.
    this.stored = undefined;
    const putResult = await store.put(LEDGER_KEY, JSON.stringify(ledger), version);
    if (putResult.kind === 'conflict') {
      return;
    }
    this.stored = { ledger, version: putResult.version };
    settled.forEach((entry) => {
      const { window, counts } = entry;
      this.settledEntries.set(window, entry);
      const requests = Object.values(counts).reduce((sum, count) => sum + count, 0);
      const workspaces = Object.keys(counts).length;
      log({ event: 'usage-settled', window, requests, workspaces });
    });
    missed.forEach((window) => {
      this.counters.missed += 1;
      log({ event: 'usage-missed', window, reason: 'no daemon counted it' });
    });
    const oldestWindow = ledger.entries[0]?.window ?? 0;
    [...this.reportedWindows]
      .filter((window) => window < oldestWindow)
      .forEach((window) => this.reportedWindows.delete(window));
    [...this.settledEntries.keys()]
      .filter((window) => window < oldestWindow)
      .forEach((window) => this.settledEntries.delete(window));
    usage.evictBefore(Math.min(...settled.map(({ window }) => window)));
  }

  /** @returns the time until the next step */
  private async reportWindow(
    { entry }: Extract<UsageStep, { kind: 'report' }>,
    ledger: UsageLedger,
  ): Promise<Milliseconds> {
    const { getFleetTime, lease, log, options, platform, self, windowSpan } = this.settings;
    const fencingNumber = lease.getFencingNumber();
    if (fencingNumber === undefined) {
      return options.retryDelay;
    }
    const { window, counts } = entry;
    const result = await platform.reportUsage({ window, counts }, { holder: self, fencingNumber });
    switch (result) {
      case CallResult.Accepted:
        // The ledger is updated when the next window is settled. Until then a successor may repeat
        // the report, which is harmless.
        this.markReported(ledger, window);
        this.counters.reported += 1;
        log({
          event: 'usage-reported',
          window,
          after: getFleetTime() - getWindowEnd(window, windowSpan),
          fencingNumber,
        });
        return 0;
      case CallResult.Conflict:
        lease.reportFenced(fencingNumber + 1);
        log({ event: 'duty-failed', call: `report ${window}`, result, fencingNumber });
        return options.retryDelay;
      case CallResult.Unavailable:
        log({ event: 'duty-failed', call: `report ${window}`, result, fencingNumber });
        return options.retryDelay;
      case CallResult.Rejected:
        // Retrying is useless: the platform would reject the same report again.
        this.markReported(ledger, window);
        this.counters.missed += 1;
        log({ event: 'duty-failed', call: `report ${window}`, result, fencingNumber });
        return 0;
      default:
        return result satisfies never;
    }
  }

  private markReported(ledger: UsageLedger, window: number): void {
    this.reportedWindows.add(window);
    if (this.stored === undefined || this.stored.ledger !== ledger) {
      return;
    }
    const entries = ledger.entries.map((entry) =>
      entry.window === window ? { ...entry, isReported: true } : entry,
    );
    this.stored = { ...this.stored, ledger: { entries } };
  }
}
