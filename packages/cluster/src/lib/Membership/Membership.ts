import type { Milliseconds } from '@apricotrill/utils';
import { DeathCause } from '../ClusterEvent.js';
import type { CoreContext } from '../CoreContext.js';
import { emitEvent } from '../CoreContext.js';
import { LocalHealth } from '../LocalHealth/LocalHealth.js';
import { FlapDamper, REFUTATION_PENALTY, RETURN_PENALTY } from '../FlapDamper/FlapDamper.js';
import type { DaemonIdentity, Member, MemberRecord } from '../Member.js';
import { getMeshAddress, isRunning, MemberState } from '../Member.js';
import type { MemberEntry } from '../MemberTable/MemberTable.js';
import { MemberTable } from '../MemberTable/MemberTable.js';
import type { Rumour, MemberStateUpdate } from '../messages.js';
import { PauseDetector } from '../PauseDetector/PauseDetector.js';
import { SelfRecord } from '../SelfRecord/SelfRecord.js';
import { SuspicionTimers } from './SuspicionTimers.js';

/** How a change to a member's record reached this daemon. */
export enum RecordSource {
  /** This daemon's own observation, or a rumour: it is gossiped further. */
  Rumour = 'rumour',
  /** An anti-entropy exchange: too much to gossip further, and peers run exchanges themselves. */
  AntiEntropy = 'anti-entropy',
}

interface MembershipSettings {
  context: CoreContext;
  identity: DaemonIdentity;
  queueRumour: (rumour: Rumour) => void;
  /** Whether a region is reachable from this daemon. */
  isRegionReachable: (region: string) => boolean;
  /** Whether the member is in this daemon's region, whose daemons detect its failure. */
  isInOwnRegion: (member: string) => boolean;
  onChange: () => void;
}

/**
 * The membership view: which other daemons exist and what state they are in. Merges records and
 * state updates from peers with this daemon's own observations, and gossips what is new.
 */
export class Membership {
  readonly table = new MemberTable();

  readonly self: SelfRecord;

  readonly localHealth: LocalHealth;

  readonly pauseDetector: PauseDetector;

  readonly flapDamper: FlapDamper;

  private readonly suspicionTimers: SuspicionTimers;

  private readonly context: CoreContext;

  private readonly startedAt: Milliseconds;

  constructor(private readonly settings: MembershipSettings) {
    const { context, identity, onChange } = settings;
    this.context = context;
    this.startedAt = context.clock.now();
    this.localHealth = new LocalHealth(context, onChange);
    this.pauseDetector = new PauseDetector(context);
    this.flapDamper = new FlapDamper(context, onChange);
    this.self = new SelfRecord(context, identity, (record) => this.announceSelf(record));
    this.suspicionTimers = new SuspicionTimers({
      context,
      isExpiryDeferred: (member) => this.isExpiryDeferred(member),
      onExpiry: (member) => this.declareDead(member, DeathCause.SuspicionTimeout),
    });
  }

  /** The number of running members, including this daemon. */
  get size(): number {
    return this.table.runningCount + 1;
  }

  /** Gossips this daemon's current record. */
  announceSelf(record = this.self.get()): void {
    this.settings.queueRumour({ kind: 'member', record });
    this.settings.onChange();
  }

  /**
   * Merges a record received from a peer.
   *
   * @returns the record that this daemon holds, if it differs from the received one and wins
   */
  handleRecord(record: MemberRecord, source: RecordSource): MemberRecord | undefined {
    if (record.id === this.self.get().id) {
      this.self.refute(record);
      return undefined;
    }
    const previous = this.table.merge(record, this.context.clock.now());
    if (previous === 'not-newer') {
      return this.getNewerRecord(record);
    }
    if (source === RecordSource.Rumour) {
      this.settings.queueRumour({ kind: 'member', record });
    }
    this.handleStateChange(previous, record, DeathCause.ReportedByPeer);
    return undefined;
  }

  /**
   * Applies a state update received from a peer.
   *
   * @returns the record that this daemon holds, if it differs from the update and wins
   */
  handleStateUpdate(update: MemberStateUpdate): MemberRecord | undefined {
    if (update.id === this.self.get().id) {
      this.self.refute(update);
      return undefined;
    }
    return this.applyStateUpdate(update, DeathCause.ReportedByPeer);
  }

  /** Suspects a member that failed both the direct probe and the indirect ones. */
  suspect(member: string): void {
    const record = this.table.get(member)?.record;
    if (record?.state === MemberState.Leaving) {
      this.declareDead(member, DeathCause.Left);
    } else if (record?.state === MemberState.Alive) {
      const { id, incarnation, refutation } = record;
      this.context.counters.suspicions += 1;
      emitEvent(this.context, { kind: 'member-suspected', member, incarnation });
      this.applyStateUpdate(
        { id, incarnation, refutation, state: MemberState.Suspect },
        DeathCause.ReportedByPeer,
      );
    }
  }

  declareDead(member: string, cause: DeathCause): void {
    const record = this.table.get(member)?.record;
    if (record !== undefined && isRunning(record.state)) {
      const { id, incarnation, refutation } = record;
      this.applyStateUpdate({ id, incarnation, refutation, state: MemberState.Dead }, cause);
    }
  }

  /** The record of a peer that is not alive in this view, to send to the peer so it can refute. */
  getUpdatesAbout(member: string): Rumour[] {
    const record = this.table.get(member)?.record;
    return record === undefined || record.state === MemberState.Alive
      ? []
      : [{ kind: 'member', record }];
  }

  /**
   * Checks whether this process was paused. Must be called before drawing any conclusion from
   * elapsed time.
   *
   * @returns whether this process has just resumed after a pause: timeouts that expired in the
   *   meantime prove nothing
   */
  detectPause(): boolean {
    const hasPaused = this.pauseDetector.check();
    if (hasPaused) {
      this.suspicionTimers.restart();
    }
    return hasPaused;
  }

  /**
   * Evicts dead members after the tombstone retention. Until then their records are kept as
   * tombstones: otherwise a delayed message from before the death would bring a member back on
   * every daemon.
   */
  evictTombstones(): void {
    const evictBefore = this.context.clock.now() - this.context.options.tombstoneRetention;
    [...this.table.values()]
      .filter(({ record, stateSince }) => !isRunning(record.state) && stateSince < evictBefore)
      .forEach(({ record }) => this.table.remove(record.id));
  }

  /** All members that are not dead, starting with this daemon. */
  getMembers(ownGeneration: number): Member[] {
    const self = this.getMember({
      record: this.self.get(),
      stateSince: this.startedAt,
      generation: ownGeneration,
    });
    const others = [...this.table.values()]
      .filter(({ record }) => isRunning(record.state))
      .map((entry) => this.getMember(entry));
    return [self, ...others];
  }

  dispose(): void {
    this.suspicionTimers.dispose();
    this.flapDamper.dispose();
  }

  private applyStateUpdate(update: MemberStateUpdate, cause: DeathCause): MemberRecord | undefined {
    const record = this.table.getUpdatedRecord(update.id, update);
    if (record === undefined) {
      return undefined;
    }
    const previous = this.table.merge(record, this.context.clock.now());
    if (previous === 'not-newer') {
      return this.getNewerRecord(record);
    }
    this.settings.queueRumour({ kind: 'member-state', update });
    this.handleStateChange(previous, record, cause);
    return undefined;
  }

  /** Applies the side effects of a change to a member's record. */
  private handleStateChange(
    previous: MemberRecord | undefined,
    record: MemberRecord,
    cause: DeathCause,
  ): void {
    const { id, incarnation, state } = record;
    this.suspicionTimers.cancel(id);
    this.penalizeReturn(previous, record);
    switch (state) {
      case MemberState.Suspect:
        this.suspicionTimers.start(id);
        break;
      case MemberState.Leaving:
        emitEvent(this.context, { kind: 'member-leaving', member: id });
        break;
      case MemberState.Dead:
        this.localHealth.forget(id);
        emitEvent(this.context, { kind: 'member-dead', member: id, incarnation, cause });
        break;
      case MemberState.Alive:
      default: {
        const isRefuted = previous?.state === MemberState.Suspect;
        const kind = isRefuted ? 'member-refuted' : 'member-joined';
        emitEvent(this.context, { kind, member: id, incarnation });
      }
    }
    this.settings.onChange();
  }

  private penalizeReturn(previous: MemberRecord | undefined, { id, state }: MemberRecord): void {
    if (previous === undefined || state !== MemberState.Alive) {
      return;
    }
    const isRefutation = previous.state === MemberState.Suspect;
    this.flapDamper.addPenalty(id, isRefutation ? REFUTATION_PENALTY : RETURN_PENALTY);
  }

  private getNewerRecord(received: MemberRecord): MemberRecord | undefined {
    const known = this.table.get(received.id)!.record;
    const isSame =
      known.incarnation === received.incarnation &&
      known.refutation === received.refutation &&
      known.state === received.state;
    return isSame ? undefined : known;
  }

  /**
   * Whether a suspected member must not be declared dead yet: its refutation cannot arrive while
   * this process is paused or cut off. Daemons of another region are declared dead by that region,
   * whose update arrives once the connection allows; while the regions are partitioned, a
   * refutation may never arrive.
   */
  private isExpiryDeferred(member: string): boolean {
    return this.detectPause() || this.localHealth.isCutOff || !this.settings.isInOwnRegion(member);
  }

  private getMember({ record, stateSince, generation }: MemberEntry): Member {
    const { id, region, availabilityZone, host, port, meshPort, adminPort } = record;
    const { incarnation, state } = record;
    const isReachable = this.settings.isRegionReachable(region);
    const isDamped = this.flapDamper.isDamped(id);
    return {
      id,
      region,
      availabilityZone,
      host,
      port,
      meshPort,
      adminPort,
      incarnation,
      state,
      address: getMeshAddress(record),
      generation,
      isReachable,
      isDamped,
      isEligible: state === MemberState.Alive && isReachable && !isDamped,
      stateSince,
    };
  }
}
