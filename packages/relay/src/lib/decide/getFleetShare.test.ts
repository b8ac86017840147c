import * as fc from 'fast-check';
import { getFleetShare, fleetShareOptions } from './getFleetShare.js';

const LIMIT = 1_000;

describe('getFleetShare', () => {
  it('gives a single daemon everything, and each of several daemons its share', () => {
    expect(getFleetShare(300, 1, 2)).toBe(300);
    expect(getFleetShare(300, 7, 2)).toBe(30);
    expect(getFleetShare(3, 80, 2)).toBe(2);
  });

  // Daemons start while the store is unavailable, others are partitioned, some have left, so that
  // each divides the limit by a different number of daemons. If the shares add up to more than the
  // limit, replicas reset connections or a service gets more retries than allowed.
  it('keeps the limit for all combinations of views, from 1 to 100 daemons', () => {
    const fleet = fc.integer({ min: 1, max: 100 }).chain((daemons) =>
      fc.record({
        daemons: fc.constant(daemons),
        // Daemons that don't know the most recently started ones; they know at least 70% of the
        // fleet.
        behind: fc.array(fc.integer({ min: Math.ceil(daemons * 0.7), max: daemons }), {
          maxLength: daemons,
        }),
        // Daemons that still count some that have left.
        gone: fc.integer({ min: 0, max: 20 }),
      }),
    );
    fc.assert(
      fc.property(fleet, ({ daemons, behind, gone }) => {
        const views = Array.from(
          { length: daemons },
          (_item, index) => behind[index] ?? daemons + gone,
        );
        const sum = views.reduce((total, view) => total + getFleetShare(LIMIT, view, 0), 0);
        expect(sum).toBeLessThanOrEqual(LIMIT);
      }),
      { seed: 5, numRuns: 500 },
    );
  });

  it('keeps the limit if some daemons have no count and the fleet is not larger than assumed', () => {
    for (let daemons = 2; daemons <= fleetShareOptions.assumedDaemons; daemons += 1) {
      for (let uninformed = 0; uninformed <= daemons; uninformed += 1) {
        const informed = getFleetShare(LIMIT, daemons, 0) * (daemons - uninformed);
        expect(informed + getFleetShare(LIMIT, undefined, 0) * uninformed).toBeLessThanOrEqual(
          LIMIT,
        );
      }
    }
  });
});
