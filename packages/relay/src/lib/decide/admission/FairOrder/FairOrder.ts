import type { Milliseconds } from '@apricotrill/utils';
import type { AdmissionOptions } from '../admissionOptions.js';
import type { Applicant } from '../Applicant.js';
import { RankFloors } from '../RankFloors/RankFloors.js';
import type { WaitingApplicant } from '../WaitingApplicant.js';

/** Number of workspaces of one rank from which on those without a lead are forgotten. */
const MAX_ACCOUNTS = 512;

/** What the workspaces have used at one rank. */
interface RankAccounts {
  /** Start tag of the request that began last. */
  virtualTime: number;
  /** Finish tag of each workspace's last request. */
  finishTags: Map<string, number>;
}

/** A waiting applicant and its start tag in the virtual time of its rank. */
interface TaggedApplicant {
  waiting: WaitingApplicant;
  startTag: number;
}

/** Latest time at which the first token is in time by the clock of the caller. */
function getCallerTarget({ firstArrivedAt, applicant }: WaitingApplicant): Milliseconds {
  return firstArrivedAt + applicant.criteria.latencyTarget;
}

function compareTargets(
  left: WaitingApplicant,
  right: WaitingApplicant,
  now: Milliseconds,
): number {
  return (
    Number(now >= getCallerTarget(left)) - Number(now >= getCallerTarget(right)) ||
    getCallerTarget(left) - getCallerTarget(right) ||
    left.applicant.arrivedAt - right.applicant.arrivedAt
  );
}

function compareTagged(left: TaggedApplicant, right: TaggedApplicant, now: Milliseconds): number {
  return (
    left.waiting.applicant.criteria.rank - right.waiting.applicant.criteria.rank ||
    left.startTag - right.startTag ||
    compareTargets(left.waiting, right.waiting, now)
  );
}

/**
 * Orders waiting applicants: the most urgent rank first, then the workspace that used least, then the
 * request whose target passes first. A request that returns after a refusal counts from its first arrival;
 * once it can't be in time by that, it goes after those of its workspace that still can.
 *
 * Load patterns: one workspace asks for ten times its part, and in order of arrival gets ten times as much
 * as the others. Requests with short targets come beside those with long ones; in order of arrival, waits
 * approach the longest target, and all others are late.
 *
 * Workspaces share a rank with start-time fair queueing (Goyal, Vin and Cheng, 1996): the next request of
 * a workspace starts at the finish tag of its last one, or at the current virtual time if that is later, so
 * that idling earns no credit. While two workspaces wait, what they get differs by at most one request of
 * each. A request is charged when it begins, so that those that are refused cost nothing.
 *
 * A rank that would get nothing has a request go first now and then; see {@link RankFloors}.
 */
export class FairOrder {
  private readonly ranks = new Map<number, RankAccounts>();

  private readonly floors: RankFloors;

  constructor(options: Pick<AdmissionOptions, 'floorShare' | 'targetMemory'>) {
    this.floors = new RankFloors(options);
  }

  /** Records a request that arrives, also if it is refused. */
  recordArrival({ criteria }: Applicant, now: Milliseconds): void {
    this.floors.recordArrival(criteria.rank, now);
  }

  /** Sorts applicants by the order in which they should begin. */
  sort(applicants: Iterable<WaitingApplicant>, now: Milliseconds): readonly WaitingApplicant[] {
    const nextTags = new Map<string, number>();
    const ordered = [...applicants]
      .sort((left, right) => compareTargets(left, right, now))
      .map((waiting) => ({ waiting, startTag: this.takeTag(waiting, nextTags) }))
      .sort((left, right) => compareTagged(left, right, now))
      .map(({ waiting }) => waiting);
    return this.floors.apply(ordered);
  }

  /** Charges an applicant that begins to its workspace. */
  recordBegin({ applicant, cost }: WaitingApplicant, now: Milliseconds): void {
    const { criteria, workspace } = applicant;
    const accounts = this.getAccounts(criteria.rank);
    const startTag = FairOrder.getStartTag(accounts, workspace);
    this.floors.recordBegin(criteria.rank, now);
    accounts.virtualTime = startTag;
    accounts.finishTags.set(workspace, startTag + cost);
    if (accounts.finishTags.size > MAX_ACCOUNTS) {
      FairOrder.forgetIdle(accounts);
    }
  }

  /** The start tag of the next request of a workspace, whose earlier requests are tagged already. */
  private takeTag({ applicant, cost }: WaitingApplicant, nextTags: Map<string, number>): number {
    const { criteria, workspace } = applicant;
    const key = `${criteria.rank}\n${workspace}`;
    const startTag =
      nextTags.get(key) ?? FairOrder.getStartTag(this.getAccounts(criteria.rank), workspace);
    nextTags.set(key, startTag + cost);
    return startTag;
  }

  private getAccounts(rank: number): RankAccounts {
    const known = this.ranks.get(rank);
    if (known !== undefined) {
      return known;
    }
    const created = { virtualTime: 0, finishTags: new Map<string, number>() };
    this.ranks.set(rank, created);
    return created;
  }

  private static getStartTag({ virtualTime, finishTags }: RankAccounts, workspace: string): number {
    return Math.max(virtualTime, finishTags.get(workspace) ?? 0);
  }

  /** A workspace whose finish tag has passed would start at the current virtual time anyway. */
  private static forgetIdle({ virtualTime, finishTags }: RankAccounts): void {
    finishTags.forEach((finishTag, workspace) => {
      if (finishTag <= virtualTime) {
        finishTags.delete(workspace);
      }
    });
  }
}
