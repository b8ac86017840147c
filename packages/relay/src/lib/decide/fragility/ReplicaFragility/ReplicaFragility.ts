import type { Clock, Milliseconds } from '@apricotrill/utils';
import type { EngineProfile } from '../../../config/RelayConfiguration.js';
import type { Fleet } from '../../Fleet/Fleet.js';
import type {
  PlacementEffect,
  PlacementUpdate,
  SharedFragility,
  StatedThreshold,
} from '../../messages.js';
import type { ReplicaState } from '../../ReplicaState/ReplicaState.js';
import { fragilityOptions } from '../fragilityOptions.js';
import { SlotWindow } from '../SlotWindow/SlotWindow.js';
import type { InFlightCount } from '../SlotWindow/SlotWindow.js';

/** Dependencies of {@link ReplicaFragility}. */
export interface ReplicaFragilityParts {
  clock: Clock;
  emit: (effect: PlacementEffect) => void;
  fleet: Fleet;
  /** Returns the name of the replica's group, for which one daemon places all requests. */
  getGroup: (state: ReplicaState) => string | undefined;
}

/** The threshold that a response states, if any, and when its request was sent. */
export interface ResponseThreshold {
  replica: string;
  sentAt: Milliseconds;
  /** Undefined if the response states none. */
  threshold: StatedThreshold | undefined;
}

interface Statement {
  threshold: number;
  confirmedAt: Milliseconds;
  announcedAt: Milliseconds;
}

/**
 * Protects replicas that fall over when they turn more than a stated number of requests away within a
 * second.
 *
 * The number counts the requests of all daemons, and the queue of such a replica may shrink at any
 * moment. Therefore its requests wait at the daemons and not at the replica: one daemon, the placer of
 * its group, fills its slots and no more, and fewer once the replica has turned a request away. A replica
 * that has turned away half of the number gets nothing from any daemon until the second is over.
 */
export class ReplicaFragility {
  private readonly statements = new Map<string, Statement>();

  /** Times at which each replica turned requests away, of all daemons. */
  private readonly rejectedAt = new Map<string, Milliseconds[]>();

  /** The attempts that this daemon, as a placer, lets each replica have in flight. */
  private readonly windows = new Map<string, SlotWindow>();

  /** Last invalid statement logged for each replica, to avoid duplicate log lines. */
  private readonly invalidTexts = new Map<string, string>();

  constructor(private readonly parts: ReplicaFragilityParts) {}

  /** Whether any replica has stated a threshold. */
  get isActive(): boolean {
    return this.statements.size > 0;
  }

  /** The stated threshold; undefined if the replica states none. */
  getThreshold(replica: string): number | undefined {
    const statement = this.statements.get(replica);
    const oldest = this.parts.clock.now() - fragilityOptions.expiry;
    return statement !== undefined && statement.confirmedAt > oldest
      ? statement.threshold
      : undefined;
  }

  /** Current thresholds by replica. */
  getThresholds(): [string, number][] {
    return [...this.statements.keys()].flatMap((replica): [string, number][] => {
      const threshold = this.getThreshold(replica);
      return threshold === undefined ? [] : [[replica, threshold]];
    });
  }

  /** Whether a fragile replica has room for another request, as far as this daemon knows. */
  hasRoom(state: ReplicaState, profile: EngineProfile | undefined): boolean {
    if (this.isHeld(state.replica.id)) {
      return false;
    }
    const count = this.getCount(state);
    const statedSlots = state.lastReport?.report.slots ?? Number.POSITIVE_INFINITY;
    const slots = Math.max(1, Math.min(state.getSlots(profile), statedSlots));
    const limit = Math.min(slots, this.getWindow(state, slots).getLimit(count));
    return count.inFlight + state.getUnannouncedInFlight(count.now) < limit;
  }

  /**
   * Counts a health check, which a fragile replica may turn away like a request. Only the first placer of the
   * group checks it, at most once in the window in which the replica counts.
   *
   * @returns false if the check must not be sent now
   */
  tryAcquireCheck(state: ReplicaState): boolean {
    const { fleet, getGroup } = this.parts;
    const { id } = state.replica;
    if (this.getThreshold(id) === undefined) {
      return true;
    }
    const group = getGroup(state);
    const isPlacer = group === undefined || fleet.getPlacers(group)[0] === fleet.self;
    const mayCheck = fleet.members.length <= 1 || isPlacer;
    if (!mayCheck || this.getRecentRejections(id).length > 0) {
      return false;
    }
    this.addRejection(id);
    return true;
  }

  /** Records an attempt of any daemon that is counted as in flight from now on. */
  recordSent(state: ReplicaState): void {
    this.windows.get(state.replica.id)?.recordSent(this.getCount(state));
  }

  /**
   * Records a response to an attempt of any daemon.
   *
   * @param ended - how many attempts the response has ended, so that they are not counted any more
   */
  recordAccepted(state: ReplicaState, ended = 0): void {
    const count = this.getCount(state);
    const inFlight = count.inFlight + ended;
    this.windows.get(state.replica.id)?.recordAccepted({ ...count, inFlight });
  }

  /** Records a request of any daemon that a replica turned away, and that is not counted any more. */
  recordTurnedAway(state: ReplicaState): void {
    this.windows.get(state.replica.id)?.recordRejected(this.getCount(state));
  }

  /** Whether a replica has turned away so many requests that it gets nothing for the moment. */
  isHeld(replica: string): boolean {
    const threshold = this.getThreshold(replica);
    if (threshold === undefined) {
      return false;
    }
    const tolerated = Math.max(1, Math.ceil(threshold * fragilityOptions.heldShare));
    return this.getRecentRejections(replica).length >= tolerated;
  }

  /** Records a request of this daemon that a replica turned away. */
  recordRejection(state: ReplicaState): void {
    const replica = state.replica.id;
    const threshold = this.getThreshold(replica);
    if (threshold !== undefined) {
      const inFlight = state.running.size;
      const reported = state.lastReport?.report;
      this.parts.emit({ kind: 'turned-away', replica, threshold, inFlight, reported });
      this.addRejection(replica);
      this.parts.emit({ kind: 'share', update: { kind: 'turned-away', replica } });
    }
  }

  /** Records a request of another daemon that a replica turned away. */
  recordPeerRejection(replica: string): void {
    this.addRejection(replica);
  }

  /** Updates the threshold of a replica from one of its responses. */
  recordResponse({ replica, sentAt, threshold }: ResponseThreshold): void {
    const { clock, emit } = this.parts;
    const now = clock.now();
    const known = this.statements.get(replica);
    if (threshold === undefined) {
      // A response to an earlier request may predate the statement.
      if (known !== undefined && sentAt > known.confirmedAt) {
        this.statements.delete(replica);
        this.windows.delete(replica);
        emit({ kind: 'robust', replica });
      }
      return;
    }
    if (threshold.kind === 'invalid') {
      if (this.invalidTexts.get(replica) !== threshold.text) {
        this.invalidTexts.set(replica, threshold.text);
        emit({ kind: 'threshold-refused', replica, text: threshold.text });
      }
      return;
    }
    const isAnnounced =
      known?.threshold === threshold.count &&
      now - known.announcedAt < fragilityOptions.announcementPeriod;
    this.set(replica, threshold.count, now);
    if (!isAnnounced) {
      this.statements.get(replica)!.announcedAt = now;
      const replicas = [{ replica, threshold: threshold.count, age: 0 }];
      emit({ kind: 'share', update: { kind: 'fragile', replicas } });
    }
  }

  /** Applies the statements that other daemons received, if they are newer. */
  applyPeerStatements(replicas: readonly SharedFragility[]): void {
    const now = this.parts.clock.now();
    replicas.forEach(({ replica, threshold, age }) => {
      const at = now - age;
      if (at > (this.statements.get(replica)?.confirmedAt ?? Number.NEGATIVE_INFINITY)) {
        this.set(replica, threshold, at);
      }
    });
  }

  /** Returns what each regular message repeats, since datagrams can be lost. */
  getPeriodicUpdates(): PlacementUpdate[] {
    const now = this.parts.clock.now();
    const replicas = [...this.statements]
      .filter(([replica]) => this.getThreshold(replica) !== undefined)
      .map(([replica, { threshold, confirmedAt }]) => ({
        replica,
        threshold,
        age: now - confirmedAt,
      }))
      .sort((left, right) => left.age - right.age)
      .slice(0, fragilityOptions.maxPerDatagram);
    return replicas.length === 0 ? [] : [{ kind: 'fragile', replicas }];
  }

  /** Discards what is known of all other replicas. */
  retain(replicas: ReadonlySet<string>): void {
    [this.statements, this.rejectedAt, this.windows, this.invalidTexts].forEach((known) =>
      [...known.keys()]
        .filter((replica) => !replicas.has(replica))
        .forEach((replica) => known.delete(replica)),
    );
  }

  private getWindow({ replica }: ReplicaState, slots: number): SlotWindow {
    const known = this.windows.get(replica.id);
    if (known !== undefined) {
      return known;
    }
    const window = new SlotWindow(slots);
    this.windows.set(replica.id, window);
    return window;
  }

  private getCount(state: ReplicaState): InFlightCount {
    const { clock, fleet } = this.parts;
    return { inFlight: state.running.size, now: clock.now(), isShared: fleet.members.length > 1 };
  }

  private set(replica: string, threshold: number, at: Milliseconds): void {
    const known = this.statements.get(replica);
    const isNew = this.getThreshold(replica) !== threshold;
    this.statements.set(replica, {
      threshold,
      confirmedAt: Math.max(at, known?.confirmedAt ?? at),
      announcedAt: known?.announcedAt ?? Number.NEGATIVE_INFINITY,
    });
    if (isNew) {
      this.parts.emit({ kind: 'fragile', replica, threshold });
    }
  }

  private addRejection(replica: string): void {
    const wasHeld = this.isHeld(replica);
    const recent = [...this.getRecentRejections(replica), this.parts.clock.now()];
    this.rejectedAt.set(replica, recent);
    if (!wasHeld && this.isHeld(replica)) {
      const span = fragilityOptions.window;
      this.parts.emit({ kind: 'replica-held', replica, rejections: recent.length, span });
    }
  }

  private getRecentRejections(replica: string): Milliseconds[] {
    const oldest = this.parts.clock.now() - fragilityOptions.window;
    return (this.rejectedAt.get(replica) ?? []).filter((at) => at > oldest);
  }
}
