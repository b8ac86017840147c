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

function compareAge(left: WaitingApplicant, right: WaitingApplicant): number {
  return (
    left.firstArrivedAt - right.firstArrivedAt ||
    left.applicant.arrivedAt - right.applicant.arrivedAt
  );
}

function compareTagged(left: TaggedApplicant, right: TaggedApplicant): number {
  return (
    left.waiting.applicant.criteria.rank - right.waiting.applicant.criteria.rank ||
    left.startTag - right.startTag ||
    compareAge(left.waiting, right.waiting)
  );
}

/**
 * Orders waiting applicants: the most urgent rank first, then the workspace that used least, then the
 * request that arrived first.
 *
 * Load pattern: one workspace asks for ten times its part. In order of arrival it would get ten times as
 * much as the others, most of which would be late.
 *
 * Workspaces share a rank with start-time fair queueing (Goyal, Vin and Cheng, 1996): the next request of
 * a workspace starts at the finish tag of its last one, or at the current virtual time if that is later, so
 * that idling earns no credit. While two workspaces wait, what they get differs by at most one request of
 * each. A request is charged when it begins, so that those that are refused cost nothing.
 */
export class FairOrder {
  private readonly ranks = new Map<number, RankAccounts>();

  /** Sorts applicants by the order in which they should begin. */
  sort(applicants: Iterable<WaitingApplicant>): WaitingApplicant[] {
    const nextTags = new Map<string, number>();
    return [...applicants]
      .sort(compareAge)
      .map((waiting) => ({ waiting, startTag: this.takeTag(waiting, nextTags) }))
      .sort(compareTagged)
      .map(({ waiting }) => waiting);
  }

  /** Charges an applicant that begins to its workspace. */
  recordBegin({ applicant, cost }: WaitingApplicant): void {
    const { criteria, workspace } = applicant;
    const accounts = this.getAccounts(criteria.rank);
    const startTag = FairOrder.getStartTag(accounts, workspace);
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
