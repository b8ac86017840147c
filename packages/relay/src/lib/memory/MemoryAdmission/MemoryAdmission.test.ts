import { memoryOptions } from '../memoryOptions.js';
import { MemoryAdmission, Room } from './MemoryAdmission.js';

const BUDGET = 1_000_000;

const LEVELS = 4;

const LEAST_URGENT = LEVELS - 1;

const { admittedShare, leastUrgentShare, reopenShare } = memoryOptions;

const leastRoom = BUDGET * admittedShare * leastUrgentShare;

describe('MemoryAdmission', () => {
  let admission: MemoryAdmission;

  beforeEach(() => {
    admission = new MemoryAdmission({ budget: BUDGET, levels: LEVELS });
  });

  it('admits everything without a budget', () => {
    const unbounded = new MemoryAdmission({ budget: undefined, levels: LEVELS });
    expect(unbounded.decide({ rank: LEAST_URGENT, bytes: 1e12 }, 1e12)).toBe(Room.Free);
    expect(unbounded.isExceeded(1e12)).toBe(false);
  });

  // Guards against urgent requests that find no room because less urgent ones have taken all of it.
  it('refuses the least urgent requests first', () => {
    const getAdmittedRanks = (held: number) =>
      Array.from({ length: LEVELS }, (_item, rank) => rank).filter(
        (rank) => admission.decide({ rank, bytes: 1 }, held) === Room.Free,
      );
    expect(getAdmittedRanks(leastRoom - 1)).toEqual([0, 1, 2, 3]);
    expect(getAdmittedRanks(leastRoom)).toEqual([0, 1, 2]);
    expect(getAdmittedRanks(BUDGET * admittedShare - 1)).toEqual([0]);
    expect(getAdmittedRanks(BUDGET * admittedShare)).toEqual([]);
  });

  // Guards against responses of running requests that find no room because new requests have taken it.
  it('leaves a part of the bound to the requests that run', () => {
    expect(admission.decide({ rank: 0, bytes: BUDGET * admittedShare + 1 }, 0)).toBe(Room.Short);
    expect(admission.isExceeded(BUDGET)).toBe(false);
    expect(admission.isExceeded(BUDGET + 1)).toBe(true);
  });

  it('admits requests again only once there is some room', () => {
    const request = { rank: LEAST_URGENT, bytes: 1 };
    expect(admission.decide(request, leastRoom)).toBe(Room.Full);
    expect(admission.isFull).toBe(true);
    expect(admission.decide(request, leastRoom - 1)).toBe(Room.Full);
    expect(admission.decide(request, leastRoom * reopenShare - 1)).toBe(Room.Free);
    expect(admission.isFull).toBe(false);
    expect(admission.decide(request, leastRoom - 1)).toBe(Room.Free);
  });

  // Guards against one caller with a large body that has all small requests of its rank refused.
  it('admits small requests while a large one finds no room', () => {
    expect(admission.decide({ rank: LEAST_URGENT, bytes: leastRoom }, 1)).toBe(Room.Short);
    expect(admission.decide({ rank: LEAST_URGENT, bytes: 1 }, 1)).toBe(Room.Free);
  });
});
