import type { Milliseconds } from '@apricotrill/utils';
import { slowdownOptions } from './slowdownOptions.js';

/** Upper bounds of the times between two statements that are counted together. */
const GAP_BOUNDS: readonly Milliseconds[] = [50, 100, 200, 400, 800, 1_600, 3_200];

/** Squared deviation that the initial pairs stand for: half as slow again as usual. */
const INITIAL_SQUARE = 0.25;

/** Agreement of pairs of statements with similar times between them. */
interface Agreement {
  /** The time between the statements that it stands for. */
  gap: Milliseconds;
  product: number;
  square: number;
}

function getShare({ product, square }: Pick<Agreement, 'product' | 'square'>): number {
  return product / square;
}

function createAgreement(bound: Milliseconds, index: number): Agreement {
  const gap = ((GAP_BOUNDS[index - 1] ?? 0) + bound) / 2;
  const square = slowdownOptions.initialPairs * INITIAL_SQUARE;
  return { gap, square, product: square * Math.exp(-gap / slowdownOptions.initialPersistence) };
}

/**
 * Learns for how long the slowdown of a service's replicas lasts, from how consecutive statements of one
 * replica agree by the time between them.
 *
 * Load pattern: replicas share machines with work that comes in spells. How long these last is a property
 * of the machines that no protocol states; a daemon that counts on a statement for too long avoids
 * replicas that are fast again, and one that forgets it too soon sends work into the spell.
 */
export class SlowdownPersistence {
  private readonly agreements = GAP_BOUNDS.map(createAgreement);

  private highest = 1;

  /** Persistence by the gaps of the agreements; never increasing. */
  private shares = this.getShares();

  /**
   * Records two consecutive statements of one replica.
   *
   * @param gap - the time between them
   * @param earlier - deviation of the earlier one from the replica's mean
   * @param later - deviation of the later one
   */
  record(gap: Milliseconds, earlier: number, later: number): void {
    const index = GAP_BOUNDS.findIndex((bound) => gap <= bound);
    const agreement = this.agreements[index];
    if (agreement === undefined) {
      return;
    }
    const { retainedPerPair } = slowdownOptions;
    agreement.product = agreement.product * retainedPerPair + earlier * later;
    agreement.square = agreement.square * retainedPerPair + (earlier ** 2 + later ** 2) / 2;
    this.shares = this.getShares();
  }

  /** Records a statement of any replica of the service. */
  recordStated(value: number): void {
    const { retainedHighest } = slowdownOptions;
    this.highest = Math.max(value, 1 + (this.highest - 1) * retainedHighest);
  }

  /** The highest slowdown that any replica of the service has stated lately. */
  get highestStated(): number {
    return this.highest;
  }

  /** The part of a deviation from the mean, from 0 to 1, that is expected to last for this time. */
  getShare(age: Milliseconds): number {
    const index = this.agreements.findIndex(({ gap }) => age < gap);
    if (index === -1) {
      const { gap } = this.agreements.at(-1)!;
      return this.shares.at(-1)! * Math.exp(1 - age / gap);
    }
    const from = this.agreements[index - 1]?.gap ?? 0;
    const start = index === 0 ? 1 : this.shares[index - 1]!;
    const part = Math.max(0, age - from) / (this.agreements[index]!.gap - from);
    return start + (this.shares[index]! - start) * part;
  }

  /**
   * The agreement by gap, never increasing: neighbours that contradict this are merged, so that a gap
   * without pairs follows those with many.
   */
  private getShares(): number[] {
    const merged: { product: number; square: number; count: number }[] = [];
    this.agreements.forEach(({ product, square }) => {
      let next = { product: Math.max(0, product), square, count: 1 };
      while (merged.length > 0 && getShare(merged.at(-1)!) < getShare(next)) {
        const last = merged.pop()!;
        next = {
          product: last.product + next.product,
          square: last.square + next.square,
          count: last.count + next.count,
        };
      }
      merged.push(next);
    });
    return merged.flatMap((group) => Array<number>(group.count).fill(Math.min(1, getShare(group))));
  }
}
