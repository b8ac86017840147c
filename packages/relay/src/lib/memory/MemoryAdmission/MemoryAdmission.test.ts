import { memoryOptions } from '../memoryOptions.js';
import { MemoryAdmission, Room } from './MemoryAdmission.js';

const BUDGET = 1_000_000;

const LEAST_URGENT = 0;

const MOST_URGENT = 1;

const { admittedShare, leastUrgentShare, reopenShare } = memoryOptions;

const leastRoom = BUDGET * admittedShare * leastUrgentShare;

describe('MemoryAdmission', () => {
  let admission: MemoryAdmission;

  beforeEach(() => {
    admission = new MemoryAdmission({ budget: BUDGET, admittedShare, leastUrgentShare });
  });

  it('admits everything without a budget', () => {
    const unbounded = new MemoryAdmission({
      budget: undefined,
      admittedShare,
      leastUrgentShare,
    });
    expect(unbounded.decide({ urgency: LEAST_URGENT, bytes: 1e12 }, 1e12)).toBe(Room.Free);
    expect(unbounded.isExceeded(1e12)).toBe(false);
  });

  // Guards against urgent requests that find no room because less urgent ones have taken all of it.
  it('refuses the least urgent requests first', () => {
    const getAdmitted = (held: number) =>
      [LEAST_URGENT, 0.4, MOST_URGENT].filter(
        (urgency) => admission.decide({ urgency, bytes: 1 }, held) === Room.Free,
      );
    expect(getAdmitted(leastRoom - 1)).toEqual([LEAST_URGENT, 0.4, MOST_URGENT]);
    expect(getAdmitted(leastRoom)).toEqual([0.4, MOST_URGENT]);
    expect(getAdmitted(BUDGET * admittedShare - 1)).toEqual([MOST_URGENT]);
    expect(getAdmitted(BUDGET * admittedShare)).toEqual([]);
  });

  // Guards against responses of running requests that find no room because new requests have taken it.
  it('leaves a part of the bound to the requests that run', () => {
    expect(admission.decide({ urgency: MOST_URGENT, bytes: BUDGET * admittedShare + 1 }, 0)).toBe(
      Room.Short,
    );
    expect(admission.isExceeded(BUDGET)).toBe(false);
    expect(admission.isExceeded(BUDGET + 1)).toBe(true);
  });

  it('admits requests again only once there is some room', () => {
    const request = { urgency: LEAST_URGENT, bytes: 1 };
    expect(admission.decide(request, leastRoom)).toBe(Room.Full);
    expect(admission.isFull).toBe(true);
    expect(admission.decide(request, leastRoom - 1)).toBe(Room.Full);
    expect(admission.decide(request, leastRoom * reopenShare - 1)).toBe(Room.Free);
    expect(admission.isFull).toBe(false);
    expect(admission.decide(request, leastRoom - 1)).toBe(Room.Free);
  });

  // Guards against one caller with a large body that has all small requests refused.
  it('admits small requests while a large one finds no room', () => {
    expect(admission.decide({ urgency: LEAST_URGENT, bytes: leastRoom }, 1)).toBe(Room.Short);
    expect(admission.decide({ urgency: LEAST_URGENT, bytes: 1 }, 1)).toBe(Room.Free);
  });
});
