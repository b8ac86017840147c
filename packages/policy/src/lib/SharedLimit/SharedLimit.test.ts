import { createRandom } from '@apricotrill/utils';
import * as fc from 'fast-check';
import { SharedLimit } from './SharedLimit.js';
import { SlotAllowance } from './SlotAllowance.js';

const SUBSET_SIZE = 64;

const createNames = (prefix: string, count: number) =>
  Array.from({ length: count }, (_, index) => `${prefix}-${index}`);

function createLimits(daemons: string[]): SharedLimit[] {
  return daemons.map((self) => {
    const limit = new SharedLimit(SUBSET_SIZE);
    limit.setDaemons(self, daemons);
    return limit;
  });
}

describe('SharedLimit', () => {
  it('divides all slots of each replica for any number of daemons', () => {
    // Guards against overloaded replicas: without shares, each daemon would use all the slots.
    const sizes = fc.tuple(fc.integer({ min: 1, max: 40 }), fc.integer({ min: 1, max: 100 }));
    const property = fc.property(sizes, fc.nat(40), ([daemons, replicas], slots) => {
      const limits = createLimits(createNames('daemon', daemons));
      createNames('replica', Math.min(replicas, 10)).forEach((replica) => {
        const parts = limits.map((limit) => limit.getShare(replica, slots, replicas).slots);
        expect(parts.reduce((sum, part) => sum + part, 0)).toBe(slots);
        expect(Math.max(...parts) - Math.min(...parts.filter((part) => part > 0))).toBeLessThan(2);
      });
    });
    fc.assert(property, { numRuns: 100, seed: 1 });
  });

  it('assigns about subsetSize replicas of a large fleet to each daemon', () => {
    const daemons = createNames('daemon', 90);
    const replicas = createNames('replica', 600);
    const subsets = createLimits(daemons).map(
      (limit) => replicas.filter((id) => limit.getShare(id, 16, replicas.length).isAssigned).length,
    );
    const mean = subsets.reduce((sum, size) => sum + size, 0) / daemons.length;
    expect(mean).toBeGreaterThan(SUBSET_SIZE);
    expect(mean).toBeLessThan(SUBSET_SIZE * 1.1);
    expect(Math.min(...subsets)).toBeGreaterThan(SUBSET_SIZE / 2);
  });

  it('reassigns few slots when a daemon leaves', () => {
    const daemons = createNames('daemon', 9);
    const before = createLimits(daemons).slice(0, 8);
    const after = createLimits(daemons.slice(0, 8));
    const changes = createNames('replica', 50).flatMap((id) =>
      before.map((limit, index) => {
        const { slots } = limit.getShare(id, 16, 50);
        return Math.abs(after[index]!.getShare(id, 16, 50).slots - slots);
      }),
    );
    expect(changes.reduce((sum, change) => sum + change, 0)).toBeLessThan(50 * 3);
    expect(Math.max(...changes)).toBe(1);
  });
});

describe('SlotAllowance', () => {
  const MAX_AGE = 10_000;

  const PLAN = { shared: 16, targetLoad: 16, guaranteedRatio: 0.5 };

  function createAllowance(guaranteedRatio = 0.5): SlotAllowance {
    const allowance = new SlotAllowance(MAX_AGE);
    allowance.setShare(
      { isAssigned: true, slots: 2, daemonCount: 8 },
      { ...PLAN, guaranteedRatio },
    );
    return allowance;
  }

  const ZERO_RANDOM = { next: () => 0, integer: () => 0 };

  it('equals the share before the first report and after reports stop', () => {
    const allowance = createAllowance();
    expect(allowance.getLimit(0)).toBe(2);
    allowance.applyReport({ load: 0, ownLoad: 2, measuredAt: 0 }, 0, ZERO_RANDOM);
    expect([allowance.getLimit(0), allowance.getLimit(MAX_AGE + 1)]).toEqual([4, 2]);
  });

  it('adds no more than the free slots to the limits of all daemons together', () => {
    const random = createRandom(3);
    const lentSlots = Array.from({ length: 4000 }, () => {
      const allowance = createAllowance();
      allowance.applyReport({ load: 11, ownLoad: 2, measuredAt: 0 }, 0, random);
      return allowance.getLimit(0) - 2;
    });
    const lentPerReport = (8 * lentSlots.reduce((sum, each) => sum + each, 0)) / lentSlots.length;
    expect(Math.abs(lentPerReport - 5)).toBeLessThan(0.2);
  });

  it('ignores reports measured before the last adjustment took effect', () => {
    // Guards against flooding a replica that becomes idle: all daemons use their part of the free
    // slots, but reports measured before these requests arrived still show the same slots as free.
    const allowance = createAllowance();
    allowance.applyReport({ load: 0, ownLoad: 2, measuredAt: 900 }, 1000, ZERO_RANDOM);
    allowance.applyReport({ load: 0, ownLoad: 4, measuredAt: 990 }, 1100, ZERO_RANDOM);
    expect(allowance.getLimit(1100)).toBe(4);
    allowance.applyReport({ load: 0, ownLoad: 4, measuredAt: 1050 }, 1200, ZERO_RANDOM);
    expect(allowance.getLimit(1200)).toBe(6);
  });

  it('reduces the limit at an overloaded replica in proportion, down to the guaranteed part', () => {
    const allowance = createAllowance();
    allowance.applyReport({ load: 32, ownLoad: 8, measuredAt: 0 }, 0, ZERO_RANDOM);
    expect(allowance.getLimit(0)).toBe(4);
    allowance.applyReport({ load: 32, ownLoad: 0, measuredAt: 1 }, 1, ZERO_RANDOM);
    expect(allowance.getLimit(1)).toBe(1);
    const fullyGuaranteed = createAllowance(1);
    fullyGuaranteed.applyReport({ load: 32, ownLoad: 0, measuredAt: 1 }, 1, ZERO_RANDOM);
    expect(fullyGuaranteed.getLimit(1)).toBe(2);
    // Guards against an outdated limit: after a report has reduced the limit to the minimum, other
    // daemons leave and the share grows. The daemon must be able to use its new share.
    allowance.setShare({ isAssigned: true, slots: 8, daemonCount: 2 }, PLAN);
    expect(allowance.getLimit(1)).toBe(4);
  });
});
