import { exhaustiveSwitchError } from '@apricotrill/utils';
import type { ClusterCounters } from '../ClusterCounters.js';
import type { LoadDigests } from '../LoadDigests/LoadDigests.js';
import type { MemberRecord } from '../Member.js';
import type { Membership } from '../Membership/Membership.js';
import { RecordSource } from '../Membership/Membership.js';
import type { Rumour } from '../messages.js';
import type { ReplicaNotices } from '../ReplicaNotices/ReplicaNotices.js';

/** Maximum corrections of outdated rumours per message; anti-entropy takes care of the rest. */
const MAX_CORRECTIONS = 8;

/** Dispatches received rumours to their components, and refreshes rumours before they are sent. */
export class RumourDispatcher {
  constructor(
    private readonly membership: Membership,
    private readonly notices: ReplicaNotices,
    private readonly loads: LoadDigests,
    private readonly counters: ClusterCounters,
  ) {}

  /**
   * Handles the rumours of one message.
   *
   * @returns newer records where the rumours were outdated, to be sent with the response
   */
  handleRumours(rumours: readonly Rumour[]): Rumour[] {
    this.counters.rumoursHeard += rumours.length;
    return rumours
      .map((rumour) => this.handleRumour(rumour))
      .filter((record) => record !== undefined)
      .slice(0, MAX_CORRECTIONS)
      .map((record) => ({ kind: 'member', record }));
  }

  /** Updates a rumour that may have waited in the queue to the present time. */
  refresh(rumour: Rumour): Rumour {
    return rumour.kind === 'replica-leaving'
      ? { kind: 'replica-leaving', notice: this.notices.updateRemaining(rumour.notice) }
      : rumour;
  }

  private handleRumour(rumour: Rumour): MemberRecord | undefined {
    switch (rumour.kind) {
      case 'member':
        return this.membership.handleRecord(rumour.record, RecordSource.Rumour);
      case 'member-state':
        return this.membership.handleStateUpdate(rumour.update);
      case 'replica-leaving':
        this.notices.handleNotice(rumour.notice);
        return undefined;
      case 'zone-load':
        this.loads.handleReport(rumour.report);
        return undefined;
      default:
        throw exhaustiveSwitchError(rumour);
    }
  }
}
