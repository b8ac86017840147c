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
import type { UsageLedger } from '../UsageLedger.js';
import { getWindowEnd } from '../SourceUsage.js';

/** What the duty needs. */
export interface UsageDutyParts {
  self: string;
  clock: Clock;
  /** Unix milliseconds, put right by the clocks of the other daemons. */
  getFleetTime: () => Milliseconds;
  lease: LeaseManager;
  store: LeaseStore;
  platform: DutyPlatform;
  usage: FleetUsage;
  windowSpan: Milliseconds;
  /** How long after a window's end its report is due. */
  delay: Milliseconds;
  options: DutyOptions;
  log: DutyLog;
}

/** Counts of what was reported and what was not. */
export interface UsageCounters {
  reported: number;
  missed: number;
}

const LEDGER_KEY = 'usage/ledger';

const EMPTY: UsageLedger = { entries: [] };

/** The ledger as it lies at the store. */
interface StoredLedger {
  ledger: UsageLedger;
  version: number;
}

/**
 * Reports, while this daemon holds the lease, the usage of each window once it is settled.
 *
 * @internal
 */
export class UsageDuty {
  readonly counters: UsageCounters = { reported: 0, missed: 0 };

  private readonly since: Milliseconds;

  private stored: StoredLedger | undefined;

  /** Windows that this daemon has reported; the ledger says so only once the next one is settled. */
  private readonly done = new Set<number>();

  constructor(private readonly parts: UsageDutyParts) {
    this.since = parts.getFleetTime();
  }

  /** What lies at the store is unknown after a time without the lease. */
  reset(): void {
    this.stored = undefined;
  }

  /**
   * Does what is to be done now.
   *
   * @returns how long until there is more to do
   * @throws StepError when the store or the platform gave no answer
   */
  async work(): Promise<Milliseconds> {
    if (this.stored === undefined) {
      this.stored = await this.read();
      return 0;
    }
    const step = this.getStep(this.stored.ledger);
    switch (step.kind) {
      case 'settle':
        await this.settle(step, this.stored.version);
        return 0;
      case 'report':
        return this.report(step, this.stored.ledger);
      case 'wait':
        return Math.max(0, step.until - this.parts.getFleetTime());
      default:
        return step satisfies never;
    }
  }

  private getStep(ledger: UsageLedger): UsageStep {
    const { getFleetTime: getTrueTime, usage, windowSpan, delay, options } = this.parts;
    return getUsageStep({
      ledger,
      usage,
      now: getTrueTime(),
      since: this.since,
      windowSpan,
      delay,
      settleDelay: options.settleDelay,
    });
  }

  private async read(): Promise<StoredLedger> {
    const object = await this.parts.store.get(LEDGER_KEY);
    if (object === undefined) {
      return { ledger: EMPTY, version: 0 };
    }
    const entries = parseLedger(object.value).entries.map((entry) => ({
      ...entry,
      isReported: entry.isReported || this.done.has(entry.window),
    }));
    return { ledger: { entries }, version: object.version };
  }

  private async settle(
    { ledger, settled, missed }: Extract<UsageStep, { kind: 'settle' }>,
    version: number,
  ): Promise<void> {
    const { log, store, usage } = this.parts;
    // Until the answer comes, nobody knows what lies there.
    this.stored = undefined;
    const outcome = await store.put(LEDGER_KEY, JSON.stringify(ledger), version);
    if (outcome.kind === 'conflict') {
      return;
    }
    this.stored = { ledger, version: outcome.version };
    settled.forEach(({ window, counts }) => {
      const requests = Object.values(counts).reduce((sum, count) => sum + count, 0);
      const workspaces = Object.keys(counts).length;
      log({ event: 'usage-settled', window, requests, workspaces });
    });
    missed.forEach((window) => {
      this.counters.missed += 1;
      log({ event: 'usage-missed', window, reason: 'no daemon counted it' });
    });
    const oldest = ledger.entries[0]?.window ?? 0;
    [...this.done]
      .filter((window) => window < oldest)
      .forEach((window) => this.done.delete(window));
    usage.forgetBefore(Math.min(...settled.map(({ window }) => window)));
  }

  /** @returns how long until the next try */
  private async report(
    { entry }: Extract<UsageStep, { kind: 'report' }>,
    ledger: UsageLedger,
  ): Promise<Milliseconds> {
    const {
      getFleetTime: getTrueTime,
      lease,
      log,
      options,
      platform,
      self,
      windowSpan,
    } = this.parts;
    const fencingNumber = lease.getFencingNumber();
    if (fencingNumber === undefined) {
      return options.retry;
    }
    const { window, counts } = entry;
    const result = await platform.reportUsage({ window, counts }, { holder: self, fencingNumber });
    switch (result) {
      case CallResult.Accepted:
        // Written down with the next window: a successor repeats it, which does no harm.
        this.markReported(ledger, window);
        this.counters.reported += 1;
        log({
          event: 'usage-reported',
          window,
          after: getTrueTime() - getWindowEnd(window, windowSpan),
          fencingNumber,
        });
        return 0;
      case CallResult.Conflict:
        lease.reportFenced(fencingNumber + 1);
        log({ event: 'duty-failed', call: `report ${window}`, result, fencingNumber });
        return options.retry;
      case CallResult.Unavailable:
        log({ event: 'duty-failed', call: `report ${window}`, result, fencingNumber });
        return options.retry;
      case CallResult.Rejected:
        // The same report would be refused again.
        this.markReported(ledger, window);
        this.counters.missed += 1;
        log({ event: 'duty-failed', call: `report ${window}`, result, fencingNumber });
        return 0;
      default:
        return result satisfies never;
    }
  }

  private markReported(ledger: UsageLedger, window: number): void {
    this.done.add(window);
    if (this.stored === undefined || this.stored.ledger !== ledger) {
      return;
    }
    const entries = ledger.entries.map((entry) =>
      entry.window === window ? { ...entry, isReported: true } : entry,
    );
    this.stored = { ...this.stored, ledger: { entries } };
  }
}
