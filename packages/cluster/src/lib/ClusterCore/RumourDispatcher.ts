import { exhaustiveSwitchError } from '@apricotrill/utils';
import type { ClusterCounters } from '../ClusterCounters.js';
import type { LoadDigests } from '../LoadDigests/LoadDigests.js';
import type { MemberRecord } from '../Member.js';
import type { Membership } from '../Membership/Membership.js';
import { WordFrom } from '../Membership/Membership.js';
import type { Rumour } from '../messages.js';
import type { ReplicaNotices } from '../ReplicaNotices/ReplicaNotices.js';

/** Old words that one message is corrected on at most; comparison of views does the rest. */
const MAX_CORRECTIONS = 8;

/** Hands each rumour to the part it is for, and keeps what is told on fresh. */
export class RumourReader {
  constructor(
    private readonly membership: Membership,
    private readonly notices: ReplicaNotices,
    private readonly loads: LoadDigests,
    private readonly counters: ClusterCounters,
  ) {}

  /**
   * Takes the rumours of one message.
   *
   * @returns newer word on what the sender told, for the answer
   */
  hear(rumours: readonly Rumour[]): Rumour[] {
    this.counters.rumoursHeard += rumours.length;
    return rumours
      .map((rumour) => this.hearOne(rumour))
      .filter((record) => record !== undefined)
      .slice(0, MAX_CORRECTIONS)
      .map((record) => ({ kind: 'member', record }));
  }

  /** A rumour as it holds now: it may have waited. */
  refresh(rumour: Rumour): Rumour {
    return rumour.kind === 'replica-leaving'
      ? { kind: 'replica-leaving', notice: this.notices.refresh(rumour.notice) }
      : rumour;
  }

  private hearOne(rumour: Rumour): MemberRecord | undefined {
    switch (rumour.kind) {
      case 'member':
        return this.membership.hearRecord(rumour.record, WordFrom.Rumour);
      case 'verdict':
        return this.membership.hearVerdict(rumour.verdict);
      case 'replica-leaving':
        this.notices.hear(rumour.notice);
        return undefined;
      case 'zone-load':
        this.loads.hearReport(rumour.report);
        return undefined;
      default:
        throw exhaustiveSwitchError(rumour);
    }
  }
}
