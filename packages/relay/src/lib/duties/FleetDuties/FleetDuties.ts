import {
  DutyManager,
  FleetClock,
  UsageCounter,
  defaultDutyOptions,
  getWindow,
} from '@apricotrill/duties';
import type {
  DutyPlatform,
  DutySettings,
  DutyStatus,
  ScalableService,
  SourceUsage,
} from '@apricotrill/duties';
import { getLeaseCandidates } from '@apricotrill/lease';
import type { LeaseStore } from '@apricotrill/lease';
import type { Clock, Milliseconds, Timer } from '@apricotrill/utils';
import { getErrorText } from '../../observe/getErrorText.js';
import type { RelayLog } from '../../observe/RelayEvent.js';
import type { PeerEntry } from '../../peers/PeerDirectory.js';
import { DemandCounter } from '../DemandCounter/DemandCounter.js';
import type { RefusedPrompt } from '../DemandCounter/DemandCounter.js';
import type { DutyUpdate } from '../DutyUpdate.js';
import { RunStartEstimator } from '../RunStartEstimator/RunStartEstimator.js';
import type { EndedAttempt } from '../RunStartEstimator/RunStartEstimator.js';

/** Options for the exchange of usage counts and demand between daemons. */
export const fleetDutyOptions = {
  /** How often changed counts are sent in a small fleet. */
  sendInterval: 200 satisfies Milliseconds,
  /** Above this fleet size, counts are sent less often, to bound the load of the lease candidates. */
  maxFleetAtInterval: 80,
  /** Every so many sends, all counts are sent rather than changed ones, since datagrams can be lost. */
  sendsPerFullSend: 5,
  /** Counts per message; it keeps datagrams below the MTU of 1,500 bytes. */
  maxCountsPerMessage: 40,
  /** How long the counts of a window are still sent after its end. */
  countRetention: 8_000 satisfies Milliseconds,
};

/** External dependencies of the duties, in deployments that have duties. */
export interface DutyDependencies {
  store: LeaseStore;
  platform: DutyPlatform;
  settings: DutySettings;
}

/** Settings of the duties of a daemon. */
export interface FleetDutiesSettings extends DutyDependencies {
  self: PeerEntry;
  clock: Clock;
  log: RelayLog;
  /** Sends an update to another daemon. */
  send: (update: DutyUpdate, recipient: string) => void;
  getServices: () => readonly ScalableService[];
}

/** Splits usage counts into messages of limited size. */
function splitUsage({ source, window, counts }: SourceUsage): SourceUsage[] {
  const { maxCountsPerMessage } = fleetDutyOptions;
  const messageCount = Math.ceil(counts.length / maxCountsPerMessage);
  return Array.from({ length: messageCount }, (_, index) => ({
    source,
    window,
    counts: counts.slice(index * maxCountsPerMessage, (index + 1) * maxCountsPerMessage),
  }));
}

/**
 * This daemon's part in the duties of the fleet: it counts usage and demand, sends them to the
 * candidates for the lease of the duties, and performs the duties if it holds the lease.
 */
export class FleetDuties {
  private readonly manager: DutyManager;

  private readonly counter: UsageCounter;

  private readonly demand = new DemandCounter();

  private readonly runStarts = new RunStartEstimator();

  private readonly fleetClock = new FleetClock();

  private fleet: readonly PeerEntry[];

  /** IDs of the candidates for the lease, in order of preference. */
  private candidates: readonly string[] = [];

  private timer: Timer | undefined;

  private sendCount = 0;

  /** Whether other daemons can send their counts to this one. */
  private isLinked = false;

  constructor(private readonly settings: FleetDutiesSettings) {
    const { self, clock, settings: dutySettings } = settings;
    this.fleet = [self];
    this.counter = new UsageCounter({
      source: `${self.id}/${Math.round(clock.now())}`,
      windowSpan: dutySettings.windowSpan,
    });
    this.manager = new DutyManager({
      ...settings,
      self: self.id,
      getFleetTime: () => this.fleetTime,
      getTimeOfDay: () => Date.now(),
      getRank: () => this.rank,
    });
    this.setFleet([self]);
  }

  get status(): DutyStatus {
    return this.manager.status;
  }

  /** Sets the live daemons, including this one. */
  setFleet(daemons: readonly PeerEntry[]): void {
    this.fleet = daemons;
    const { maxCandidates: candidates } = defaultDutyOptions.lease;
    this.candidates = getLeaseCandidates('duties', daemons, candidates);
  }

  /**
   * Sets whether this daemon receives the updates of others. While it doesn't, it is no candidate for
   * the lease: it would report its own counts as those of the whole fleet.
   */
  setLinked(isLinked: boolean): void {
    this.isLinked = isLinked;
    this.manager.updateRank();
  }

  /** Records the reading of another daemon's clock at the time it sent a message. */
  recordClockReading(daemon: string, reading: Milliseconds): void {
    this.fleetClock.record(daemon, reading, this.settings.clock.now());
  }

  /** Handles an update from another daemon. */
  handleUpdate(daemon: string, update: DutyUpdate): void {
    switch (update.kind) {
      case 'usage':
        this.manager.usage.merge(update.usage);
        break;
      case 'demand':
        this.manager.demand.record(daemon, update.demand, this.settings.clock.now());
        break;
      default:
        update satisfies never;
    }
  }

  /** Records that an attempt was sent to a replica. */
  recordSent(service: string, tokens: number): void {
    this.demand.recordSent(service, tokens, this.settings.clock.now());
    this.scheduleSend();
  }

  /** Records that a request was refused because the replicas of its service had no room. */
  recordRefused(service: string, prompt: RefusedPrompt): void {
    this.demand.recordRefused(service, prompt, this.settings.clock.now());
    this.scheduleSend();
  }

  /**
   * Records that an attempt has ended.
   *
   * @returns when its replica began to run it; undefined if there is no evidence that it did
   */
  recordEnd(attempt: EndedAttempt): Milliseconds | undefined {
    this.demand.recordEnded(attempt.service);
    return this.runStarts.estimateStart(attempt);
  }

  /** Counts a request when a replica begins to run it for the first time. */
  recordRunStart(workspace: string, at: Milliseconds): void {
    this.counter.count(workspace, this.fleetClock.correct(at));
    this.scheduleSend();
  }

  /** Sends all counts, and releases the lease if this daemon holds it. */
  async stop(): Promise<void> {
    this.announceCounts(this.counter.getAll());
    await this.manager.release();
  }

  dispose(): void {
    this.timer?.cancel();
    this.manager.dispose();
  }

  private get fleetTime(): Milliseconds {
    return this.fleetClock.correct(this.settings.clock.now());
  }

  private get rank(): number {
    const rank = this.candidates.indexOf(this.settings.self.id);
    return rank < 0 || !this.isLinked ? Number.POSITIVE_INFINITY : rank;
  }

  private scheduleSend(): void {
    const { sendInterval, maxFleetAtInterval } = fleetDutyOptions;
    const interval = sendInterval * Math.max(1, this.fleet.length / maxFleetAtInterval);
    this.timer ??= this.settings.clock.setTimer(interval, () => {
      this.timer = undefined;
      // Counts that were not sent are sent with all others later, if another send follows.
      try {
        this.sendUpdates();
      } catch (error) {
        const step = 'send counts of usage';
        this.settings.log({ event: 'fault', step, error: getErrorText(error) });
        this.scheduleSend();
      }
    });
  }

  private sendUpdates(): void {
    const { settings: dutySettings } = this.settings;
    const { countRetention, sendsPerFullSend } = fleetDutyOptions;
    this.sendCount += 1;
    const firstWindow = getWindow(this.fleetTime - countRetention, dutySettings.windowSpan);
    this.counter.evictBefore(firstWindow);
    const changed = this.counter.takeChanged();
    const all = this.counter.getAll();
    this.announceCounts(this.sendCount % sendsPerFullSend === 0 ? all : changed);
    if (all.length > 0 || this.demand.getDemand(this.settings.clock.now()).length > 0) {
      this.scheduleSend();
    }
  }

  private announceCounts(usages: readonly SourceUsage[]): void {
    const { clock, self, send } = this.settings;
    const demand = this.demand.getDemand(clock.now());
    const updates: DutyUpdate[] = usages
      .flatMap(splitUsage)
      .map((usage) => ({ kind: 'usage' as const, usage }));
    if (demand.length > 0) {
      updates.push({ kind: 'demand', demand });
    }
    this.candidates.forEach((id) =>
      updates.forEach((update) =>
        id === self.id ? this.handleUpdate(id, update) : send(update, id),
      ),
    );
  }
}
