import * as fc from 'fast-check';
import { getFleetShare, shareOptions } from './getFleetShare.js';

const BOUND = 1_000;

describe('getFleetShare', () => {
  it('gives a lone daemon everything, and each of many its part', () => {
    expect(getFleetShare(300, 1, 2)).toBe(300);
    expect(getFleetShare(300, 7, 2)).toBe(30);
    expect(getFleetShare(3, 80, 2)).toBe(2);
  });

  // Symptom: replicas reset connections, or a service gets more repeats than are allowed. Sequence:
  // daemons start while the store is away, others are cut off, some have left. Cause: each divides
  // the bound by a number of daemons that is not the true one.
  it('keeps to the bound in every mix of views, from 1 to 100 daemons', () => {
    const fleet = fc.integer({ min: 1, max: 100 }).chain((daemons) =>
      fc.record({
        daemons: fc.constant(daemons),
        // Those that have not heard of the last ones to start; they know of seven in ten at least.
        behind: fc.array(fc.integer({ min: Math.ceil(daemons * 0.7), max: daemons }), {
          maxLength: daemons,
        }),
        // Those that still count some that have left.
        gone: fc.integer({ min: 0, max: 20 }),
      }),
    );
    fc.assert(
      fc.property(fleet, ({ daemons, behind, gone }) => {
        const views = Array.from(
          { length: daemons },
          (_item, index) => behind[index] ?? daemons + gone,
        );
        const sum = views.reduce((total, view) => total + getFleetShare(BOUND, view, 0), 0);
        expect(sum).toBeLessThanOrEqual(BOUND);
      }),
      { seed: 5, numRuns: 500 },
    );
  });

  it('keeps to the bound where some know no number, while the fleet is not larger than assumed', () => {
    for (let daemons = 2; daemons <= shareOptions.unknownFleet; daemons += 1) {
      for (let unknowing = 0; unknowing <= daemons; unknowing += 1) {
        const known = getFleetShare(BOUND, daemons, 0) * (daemons - unknowing);
        expect(known + getFleetShare(BOUND, undefined, 0) * unknowing).toBeLessThanOrEqual(BOUND);
      }
    }
  });
});
