import type { Milliseconds } from '@apricotrill/utils';
import { OverflowShare, overflowShareOptions } from './OverflowShare.js';

const ACCEPTABLE: Milliseconds = 150;

const INTERVAL: Milliseconds = 1_000;

/**
 * Plays a group that hears of its wait once per interval.
 *
 * @param demands - demand in each interval, as a multiple of what the group can do
 * @returns the wait after each interval
 */
function play(overflow: OverflowShare, demands: readonly number[], start = 0): Milliseconds[] {
  let wait = 0;
  return demands.map((demand, index) => {
    wait = Math.max(0, wait + (demand * (1 - overflow.share) - 1) * INTERVAL);
    overflow.update(wait, start + (index + 1) * INTERVAL, ACCEPTABLE);
    return wait;
  });
}

function repeat(demand: number, count: number): number[] {
  return Array<number>(count).fill(demand);
}

describe('OverflowShare', () => {
  // Load pattern: a group has three times its usual demand for some seconds.
  it('lets what exceeds the group leave, within a few announcements and without oscillation', () => {
    const overflow = new OverflowShare();
    const waits = play(overflow, repeat(1.5, 8));
    expect(overflow.share).toBeCloseTo(1 / 3, 2);
    waits.slice(3).forEach((wait) => expect(wait).toBeCloseTo(ACCEPTABLE, -1));
  });

  it('lets nothing leave while the wait is acceptable', () => {
    const overflow = new OverflowShare();
    play(overflow, repeat(0.9, 5));
    expect(overflow.share).toBe(0);
    play(overflow, [1 + ACCEPTABLE / 2 / INTERVAL, 1, 1], 5 * INTERVAL);
    expect(overflow.share).toBe(0);
  });

  it('lets all requests return within a few seconds of calm', () => {
    const overflow = new OverflowShare();
    play(overflow, repeat(2, 6));
    play(overflow, repeat(0.5, 4), 6 * INTERVAL);
    expect(overflow.share).toBe(0);
  });

  // Guards against a share that grows with each request that reads the same announcement.
  it('ignores a wait that it knows, and waits that follow each other too closely', () => {
    const overflow = new OverflowShare();
    overflow.update(600, INTERVAL, ACCEPTABLE);
    const { share } = overflow;
    overflow.update(600, INTERVAL, ACCEPTABLE);
    overflow.update(900, INTERVAL + overflowShareOptions.minInterval - 1, ACCEPTABLE);
    overflow.update(900, 0, ACCEPTABLE);
    expect(share).toBeGreaterThan(0);
    expect(overflow.share).toBe(share);
  });

  it('lets all requests stay once no load is known', () => {
    const overflow = new OverflowShare();
    overflow.update(600, INTERVAL, ACCEPTABLE);
    overflow.reset();
    expect(overflow.share).toBe(0);
  });
});
