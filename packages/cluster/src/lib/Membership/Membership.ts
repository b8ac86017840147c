import type { Milliseconds } from '@apricotrill/utils';
import { DeathCause } from '../ClusterEvent.js';
import type { CoreContext } from '../CoreContext.js';
import { decide } from '../CoreContext.js';
import { Experience } from '../Experience/Experience.js';
import { FlapDamper, REFUTATION_PENALTY, RETURN_PENALTY } from '../FlapDamper/FlapDamper.js';
import type { DaemonIdentity, Member, MemberRecord } from '../Member.js';
import { getMeshAddress, isRunning, MemberState } from '../Member.js';
import type { MemberEntry } from '../MemberTable/MemberTable.js';
import { MemberTable } from '../MemberTable/MemberTable.js';
import type { Rumour, Verdict } from '../messages.js';
import { PauseDetector } from '../PauseDetector/PauseDetector.js';
import { SelfRecord } from '../SelfRecord/SelfRecord.js';
import { Suspicions } from './SuspicionTimers.js';

/** How a change of a member's record came here. */
export enum WordFrom {
  /** This daemon's own finding, or a rumour: it is passed on. */
  Rumour = 'rumour',
  /** A comparison of whole views: too much to pass on, and peers compare too. */
  Comparison = 'comparison',
}

interface MembershipParts {
  context: CoreContext;
  identity: DaemonIdentity;
  tell: (rumour: Rumour) => void;
  /** Whether a region can be reached from here. */
  isRegionReachable: (region: string) => boolean;
  /** Whether this daemon is among those that find out whether the member is there. */
  isOursToJudge: (member: string) => boolean;
  onChange: () => void;
}

/**
 * Who the other daemons are and what state they are in. Takes records, verdicts and own findings,
 * decides which hold, and has them passed on.
 */
export class Membership {
  readonly table = new MemberTable();

  readonly self: SelfRecord;

  readonly experience: Experience;

  readonly pause: PauseDetector;

  readonly damper: FlapDamper;

  private readonly suspicions: Suspicions;

  private readonly context: CoreContext;

  private readonly startedAt: Milliseconds;

  constructor(private readonly parts: MembershipParts) {
    const { context, identity, onChange } = parts;
    this.context = context;
    this.startedAt = context.clock.now();
    this.experience = new Experience(context, onChange);
    this.pause = new PauseDetector(context);
    this.damper = new FlapDamper(context, onChange);
    this.self = new SelfRecord(context, identity, (record) => this.tellSelf(record));
    this.suspicions = new Suspicions({
      context,
      isOnHold: (member) => this.isOnHold(member),
      onExpired: (member) => this.declareDead(member, DeathCause.Unrefuted),
    });
  }

  /** How many members are there, this daemon among them. */
  get size(): number {
    return this.table.runningCount + 1;
  }

  /** Tells everybody of this daemon as it is now. */
  tellSelf(record = this.self.get()): void {
    this.parts.tell({ kind: 'member', record });
    this.parts.onChange();
  }

  /**
   * Takes a record from a peer.
   *
   * @returns a newer record, if this daemon holds one
   */
  hearRecord(record: MemberRecord, from: WordFrom): MemberRecord | undefined {
    if (record.id === this.self.get().id) {
      this.self.hear(record);
      return undefined;
    }
    const before = this.table.merge(record, this.context.clock.now());
    if (before === 'kept') {
      return this.getCorrection(record);
    }
    if (from === WordFrom.Rumour) {
      this.parts.tell({ kind: 'member', record });
    }
    this.follow(before, record, DeathCause.Word);
    return undefined;
  }

  /**
   * Takes a verdict from a peer.
   *
   * @returns a newer record, if this daemon holds one
   */
  hearVerdict(verdict: Verdict): MemberRecord | undefined {
    if (verdict.id === this.self.get().id) {
      this.self.hear(verdict);
      return undefined;
    }
    return this.judge(verdict, DeathCause.Word);
  }

  /** This daemon and those it asked could not reach the member. */
  suspect(member: string): void {
    const record = this.table.get(member)?.record;
    if (record?.state === MemberState.Leaving) {
      this.declareDead(member, DeathCause.Left);
    } else if (record?.state === MemberState.Alive) {
      const { id, incarnation, refutation } = record;
      this.context.counters.suspicions += 1;
      decide(this.context, { kind: 'member-suspected', member, incarnation });
      this.judge({ id, incarnation, refutation, state: MemberState.Suspect }, DeathCause.Word);
    }
  }

  declareDead(member: string, cause: DeathCause): void {
    const record = this.table.get(member)?.record;
    if (record !== undefined && isRunning(record.state)) {
      const { id, incarnation, refutation } = record;
      this.judge({ id, incarnation, refutation, state: MemberState.Dead }, cause);
    }
  }

  /** What a peer ought to know about itself: that others hold it suspect or dead. */
  getWordOn(member: string): Rumour[] {
    const record = this.table.get(member)?.record;
    return record === undefined || record.state === MemberState.Alive
      ? []
      : [{ kind: 'member', record }];
  }

  /**
   * To be called before anything is concluded from time that passed.
   *
   * @returns whether this process has just gone on after a pause: what fell due meanwhile proves
   *   nothing
   */
  noticePause(): boolean {
    const hasPaused = this.pause.check();
    if (hasPaused) {
      this.suspicions.restart();
    }
    return hasPaused;
  }

  /**
   * Forgets those who have been dead for long. Until then they stay known: a late message from
   * before the death would otherwise bring them back, everywhere.
   */
  forgetDead(): void {
    const oldest = this.context.clock.now() - this.context.options.tombstoneSpan;
    [...this.table.values()]
      .filter(({ record, stateSince }) => !isRunning(record.state) && stateSince < oldest)
      .forEach(({ record }) => this.table.forget(record.id));
  }

  /** All members but the dead, this daemon first. */
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
    this.suspicions.dispose();
    this.damper.dispose();
  }

  private judge(verdict: Verdict, cause: DeathCause): MemberRecord | undefined {
    const record = this.table.getJudged(verdict.id, verdict);
    if (record === undefined) {
      return undefined;
    }
    const before = this.table.merge(record, this.context.clock.now());
    if (before === 'kept') {
      return this.getCorrection(record);
    }
    this.parts.tell({ kind: 'verdict', verdict });
    this.follow(before, record, cause);
    return undefined;
  }

  /** What else a change of a member's record entails. */
  private follow(before: MemberRecord | undefined, record: MemberRecord, cause: DeathCause): void {
    const { id, incarnation, state } = record;
    this.suspicions.cancel(id);
    this.punishReturn(before, record);
    switch (state) {
      case MemberState.Suspect:
        this.suspicions.start(id);
        break;
      case MemberState.Leaving:
        decide(this.context, { kind: 'member-leaving', member: id });
        break;
      case MemberState.Dead:
        this.experience.forget(id);
        decide(this.context, { kind: 'member-dead', member: id, incarnation, cause });
        break;
      case MemberState.Alive:
      default: {
        const isRefuted = before?.state === MemberState.Suspect;
        const kind = isRefuted ? 'member-refuted' : 'member-joined';
        decide(this.context, { kind, member: id, incarnation });
      }
    }
    this.parts.onChange();
  }

  private punishReturn(before: MemberRecord | undefined, { id, state }: MemberRecord): void {
    if (before === undefined || state !== MemberState.Alive) {
      return;
    }
    const isRefutation = before.state === MemberState.Suspect;
    this.damper.add(id, isRefutation ? REFUTATION_PENALTY : RETURN_PENALTY);
  }

  private getCorrection(heard: MemberRecord): MemberRecord | undefined {
    const known = this.table.get(heard.id)!.record;
    const isSame =
      known.incarnation === heard.incarnation &&
      known.refutation === heard.refutation &&
      known.state === heard.state;
    return isSame ? undefined : known;
  }

  /**
   * Whether no conclusion may be drawn from a member's silence: its refutation cannot arrive while
   * this process sleeps or is cut off. Another region judges its own daemons, and its verdict
   * arrives when it can; a refutation may never, when the regions lose each other.
   */
  private isOnHold(member: string): boolean {
    return this.noticePause() || this.experience.isCutOff || !this.parts.isOursToJudge(member);
  }

  private getMember({ record, stateSince, generation }: MemberEntry): Member {
    const { id, region, availabilityZone, host, port, meshPort, adminPort } = record;
    const { incarnation, state } = record;
    const isReachable = this.parts.isRegionReachable(region);
    const isDamped = this.damper.isDamped(id);
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
