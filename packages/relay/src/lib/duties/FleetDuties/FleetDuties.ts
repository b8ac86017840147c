import { DutyManager, FleetClock, UsageCounter, dutyOptions, getWindow } from '@apricotrill/duties';
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
import type { RelayLog } from '../../observe/RelayEvent.js';
import type { PeerEntry } from '../../peers/PeerDirectory.js';
import { DemandCounter } from '../DemandCounter/DemandCounter.js';
import type { DutyUpdate } from '../DutyUpdate.js';
import { RunStarts } from '../RunStarts/RunStarts.js';
import type { EndedAttempt } from '../RunStarts/RunStarts.js';

/** How daemons tell of their counts. */
export const fleetDutyOptions = {
  /** Counts that have changed are told this often in a small fleet. */
  tellPeriod: 200 satisfies Milliseconds,
  /** Above so many daemons they are told less often, which bounds what those that stand by hear. */
  mostAtPeriod: 80,
  /** Every so many times all counts are told, since datagrams can be lost. */
  repeatEvery: 5,
  /** Counts in one message: it stays under the 1,500 bytes that pass in one piece. */
  mostCounts: 40,
  /** How long after a window's end its counts are still told. */
  keepAfter: 8_000 satisfies Milliseconds,
};

/** The outside that duties need, where the deployment has any. */
export interface DutyParts {
  store: LeaseStore;
  platform: DutyPlatform;
  settings: DutySettings;
}

/** What the duties of a daemon are made of. */
export interface FleetDutiesParts extends DutyParts {
  self: PeerEntry;
  clock: Clock;
  log: RelayLog;
  /** Tells one other daemon. */
  send: (news: DutyUpdate, to: string) => void;
  getServices: () => readonly ScalableService[];
}

/** Splits a share into messages. */
function splitShare({ source, window, counts }: SourceUsage): SourceUsage[] {
  const { mostCounts } = fleetDutyOptions;
  const parts = Math.ceil(counts.length / mostCounts);
  return Array.from({ length: parts }, (_, index) => ({
    source,
    window,
    counts: counts.slice(index * mostCounts, (index + 1) * mostCounts),
  }));
}

/**
 * This daemon's part in the duties of the fleet: it counts what its requests did, tells those that
 * stand by for the duties, and is one of these if it comes to that.
 */
export class FleetDuties {
  private readonly manager: DutyManager;

  private readonly counter: UsageCounter;

  private readonly demand = new DemandCounter();

  private readonly starts = new RunStarts();

  private readonly time = new FleetClock();

  private fleet: readonly PeerEntry[];

  /** The daemons that stand by, the preferred first. */
  private candidates: readonly string[] = [];

  private timer: Timer | undefined;

  private turns = 0;

  constructor(private readonly parts: FleetDutiesParts) {
    const { self, clock, settings } = parts;
    this.fleet = [self];
    this.counter = new UsageCounter({
      source: `${self.id}/${Math.round(clock.now())}`,
      windowSpan: settings.windowSpan,
    });
    this.manager = new DutyManager({
      ...parts,
      self: self.id,
      getFleetTime: () => this.trueTime,
      getTimeOfDay: () => Date.now(),
      getRank: () => this.rank,
    });
    this.setFleet([self]);
  }

  get status(): DutyStatus {
    return this.manager.status;
  }

  /** Takes over which daemons are heard, this one included. */
  setFleet(daemons: readonly PeerEntry[]): void {
    this.fleet = daemons;
    const { candidates } = dutyOptions.lease;
    this.candidates = getLeaseCandidates('duties', daemons, candidates);
  }

  /** What another daemon's clock said when it sent a message. */
  recordClockReading(daemon: string, said: Milliseconds): void {
    this.time.record(daemon, said, this.parts.clock.now());
  }

  /** Another daemon tells of its counts. */
  handleUpdate(daemon: string, news: DutyUpdate): void {
    switch (news.kind) {
      case 'usage':
        this.manager.usage.merge(news.share);
        break;
      case 'demand':
        this.manager.demand.record(daemon, news.demand, this.parts.clock.now());
        break;
      default:
        news satisfies never;
    }
  }

  /** An attempt was sent to a replica. */
  recordSent(service: string, tokens: number): void {
    this.demand.noteSent(service, tokens, this.parts.clock.now());
    this.schedule();
  }

  /**
   * An attempt is over.
   *
   * @returns when its replica began to run it; undefined where nothing shows that it did
   */
  recordEnd(attempt: EndedAttempt): Milliseconds | undefined {
    this.demand.noteEnded(attempt.service);
    return this.starts.getStart(attempt);
  }

  /** A replica began to run a request, for the first time. */
  recordRunStart(workspace: string, at: Milliseconds): void {
    this.counter.count(workspace, this.time.correct(at));
    this.schedule();
  }

  /** Tells what it has counted, and gives the lease up if it holds it. */
  async stop(): Promise<void> {
    this.tellAll(this.counter.getAll());
    await this.manager.release();
  }

  dispose(): void {
    this.timer?.cancel();
    this.manager.dispose();
  }

  private get trueTime(): Milliseconds {
    return this.time.correct(this.parts.clock.now());
  }

  private get rank(): number {
    const rank = this.candidates.indexOf(this.parts.self.id);
    return rank < 0 ? Number.POSITIVE_INFINITY : rank;
  }

  private schedule(): void {
    const { tellPeriod, mostAtPeriod } = fleetDutyOptions;
    const period = tellPeriod * Math.max(1, this.fleet.length / mostAtPeriod);
    this.timer ??= this.parts.clock.setTimer(period, () => {
      this.timer = undefined;
      this.tellTurn();
    });
  }

  private tellTurn(): void {
    const { settings } = this.parts;
    const { keepAfter, repeatEvery } = fleetDutyOptions;
    this.turns += 1;
    const kept = getWindow(this.trueTime - keepAfter, settings.windowSpan);
    this.counter.forgetBefore(kept);
    const changed = this.counter.takeChanged();
    const all = this.counter.getAll();
    this.tellAll(this.turns % repeatEvery === 0 ? all : changed);
    if (all.length > 0 || this.demand.getDemand(this.parts.clock.now()).length > 0) {
      this.schedule();
    }
  }

  private tellAll(shares: readonly SourceUsage[]): void {
    const { clock, self, send: tell } = this.parts;
    const demand = this.demand.getDemand(clock.now());
    const news: DutyUpdate[] = shares
      .flatMap(splitShare)
      .map((share) => ({ kind: 'usage' as const, share }));
    if (demand.length > 0) {
      news.push({ kind: 'demand', demand });
    }
    this.candidates.forEach((id) =>
      news.forEach((one) => (id === self.id ? this.handleUpdate(id, one) : tell(one, id))),
    );
  }
}
