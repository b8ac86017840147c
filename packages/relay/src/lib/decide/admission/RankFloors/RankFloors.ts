import type { Milliseconds } from '@apricotrill/utils';
import type { AdmissionOptions } from '../admissionOptions.js';
import type { WaitingApplicant } from '../WaitingApplicant.js';

/** Credit at which a request of a rank goes first. */
const FULL_CREDIT = 1;

/** Rounding tolerance: sums of fractions can fall slightly short of one. */
const ROUNDING_TOLERANCE = 1e-9;

/** Maximum ratio of the cost of a request that goes first to that of any more urgent one that waits. */
const MAX_COST_RATIO = 2;

/** A rank of which requests arrived lately. */
interface RecentRank {
  arrivedAt: Milliseconds;
  credit: number;
}

function getRank({ applicant }: WaitingApplicant): number {
  return applicant.criteria.rank;
}

/**
 * Keeps a small part of the begins for ranks that would get nothing.
 *
 * Load pattern: more urgent requests ask for all engines for minutes, and every less urgent one is refused.
 *
 * Each begin shares {@link AdmissionOptions.floorShare} of a credit among the less urgent ranks of which
 * requests arrived lately. A rank with a full credit has one request go first, unless it costs more than
 * twice as much as some more urgent one that waits. Of `n` begins, at most `L + n * floorShare` are of this
 * kind, where `L` is the number of these ranks.
 */
export class RankFloors {
  private readonly ranks = new Map<number, RecentRank>();

  constructor(private readonly options: Pick<AdmissionOptions, 'floorShare' | 'targetMemory'>) {}

  recordArrival(rank: number, now: Milliseconds): void {
    const credit = this.ranks.get(rank)?.credit ?? 0;
    this.ranks.set(rank, { arrivedAt: now, credit });
  }

  recordBegin(rank: number, now: Milliseconds): void {
    this.forgetOutdated(now);
    const lessUrgent = [...this.ranks.keys()].filter((other) => other > rank);
    lessUrgent.forEach((other) =>
      this.changeCredit(other, this.options.floorShare / lessUrgent.length),
    );
    this.changeCredit(rank, -FULL_CREDIT);
  }

  /** Moves the request that a credited rank may have go first to the front. */
  apply(ordered: readonly WaitingApplicant[]): readonly WaitingApplicant[] {
    const first = ordered.find(
      (waiting) =>
        this.isCredited(getRank(waiting)) &&
        getRank(waiting) > getRank(ordered[0]!) &&
        ordered.every(
          (other) =>
            getRank(other) >= getRank(waiting) || waiting.cost <= other.cost * MAX_COST_RATIO,
        ),
    );
    return first === undefined ? ordered : [first, ...ordered.filter((other) => other !== first)];
  }

  private isCredited(rank: number): boolean {
    return (this.ranks.get(rank)?.credit ?? 0) >= FULL_CREDIT - ROUNDING_TOLERANCE;
  }

  private changeCredit(rank: number, change: number): void {
    const known = this.ranks.get(rank);
    if (known !== undefined) {
      known.credit = Math.min(FULL_CREDIT, Math.max(0, known.credit + change));
    }
  }

  private forgetOutdated(now: Milliseconds): void {
    this.ranks.forEach(({ arrivedAt }, rank) => {
      if (now - arrivedAt > this.options.targetMemory) {
        this.ranks.delete(rank);
      }
    });
  }
}
