import type { Milliseconds } from '@apricotrill/utils';

/** Options for the share of requests that leave a group. */
export const overflowShareOptions = {
  /** Time in which the wait is to reach the acceptable one. Loads are announced once in this time. */
  horizon: 1_000 satisfies Milliseconds,
  /** Minimum time between two waits from which their change is computed. */
  minInterval: 200 satisfies Milliseconds,
  /** By which factor the share that stays grows within the horizon while there is no wait. */
  idleGrowth: 1.5,
  /** Bounds of the change of the share that stays, within one update. */
  minChange: 0.25,
  maxChange: 2,
};

/** A wait that became known. */
interface Sample {
  wait: Milliseconds;
  at: Milliseconds;
}

/** Shares below this are not worth a second group. */
const MIN_SHARE = 0.02;

/**
 * By which factor the share that stays changes, so that the wait becomes the acceptable one.
 *
 * @param growth - change of the wait within `span`
 */
function getChange(
  wait: Milliseconds,
  growth: Milliseconds,
  span: Milliseconds,
  acceptable: Milliseconds,
): number {
  const { horizon, minChange, idleGrowth } = overflowShareOptions;
  // What the group is sent, as a multiple of what it can do, and what it should be sent.
  const demand = Math.max(minChange, 1 + growth / span);
  const target = 1 + (acceptable - wait) / Math.max(span, horizon);
  if (wait > acceptable) {
    return target / demand;
  }
  // What an idle group could do in addition doesn't show in its wait. A wait that grows is no reason to
  // leave while it is acceptable.
  const isGrowing = growth > 0;
  const returning = isGrowing ? 1 : idleGrowth ** ((1 - wait / acceptable) * (span / horizon));
  return Math.max(returning, target / demand);
}

/**
 * The share of its requests that a group can't serve without more than an acceptable wait.
 *
 * Load pattern: a group has several times its usual demand for some seconds, and its wait is announced
 * only once a second. If the share followed the wait alone, all requests would leave at once and return at
 * once. The change of the wait tells by how much demand exceeds what the group can do, so that the share
 * which stays is the one that brings the wait to the acceptable one. Daemons that know the same waits have
 * the same share.
 */
export class OverflowShare {
  private last: Sample | undefined;

  private staying = 1;

  /** The share of requests that leave, from 0 to 1. */
  get share(): number {
    const share = 1 - this.staying;
    return share < MIN_SHARE ? 0 : share;
  }

  /**
   * Updates the share with a wait; one that is known already is ignored.
   *
   * @param at - when the wait became known
   * @param acceptable - the wait that requests may have
   */
  update(wait: Milliseconds, at: Milliseconds, acceptable: Milliseconds): void {
    const { horizon, minInterval, minChange, maxChange } = overflowShareOptions;
    const { last } = this;
    if (last !== undefined && at - last.at < minInterval) {
      return;
    }
    this.last = { wait, at };
    const span = last === undefined ? horizon : at - last.at;
    const change = getChange(wait, wait - (last?.wait ?? wait), span, acceptable);
    this.staying = Math.min(1, this.staying * Math.min(maxChange, Math.max(minChange, change)));
  }

  /** All requests stay again, since no load is known any more. */
  reset(): void {
    this.last = undefined;
    this.staying = 1;
  }
}
