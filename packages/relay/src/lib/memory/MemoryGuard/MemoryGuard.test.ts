import { ManualClock } from '@apricotrill/utils';
import { memoryOptions } from '../memoryOptions.js';
import { MemoryGuard } from './MemoryGuard.js';

const { admittedShare, leastUrgentShare, maxBodyWait, requestBytes } = memoryOptions;

const LEAST_URGENT = 0;

const MORE_URGENT = 0.5;

/** Room of the least urgent requests. */
const ROOM = 10 * requestBytes;

describe('MemoryGuard', () => {
  let clock: ManualClock;
  let guard: MemoryGuard;
  let changes: boolean[];

  beforeEach(() => {
    clock = new ManualClock();
    changes = [];
    guard = new MemoryGuard({
      clock,
      budget: ROOM / admittedShare / leastUrgentShare,
      onChanged: (isFull) => changes.push(isFull),
    });
  });

  it('refuses requests at once while memory is full, and reports the change', () => {
    const applicant = { urgency: LEAST_URGENT, bytes: 0 };
    const holdings = Array.from({ length: 10 }, () => guard.tryAdmit(applicant));
    expect(holdings).not.toContain(undefined);
    expect(guard.admit(applicant)).toBeUndefined();
    expect(guard.tryAdmit({ urgency: 1, bytes: 0 })).toBeDefined();
    expect(changes).toEqual([true]);
    holdings.slice(0, 5).forEach((holding) => holding!.release());
    expect(guard.tryAdmit(applicant)).toBeDefined();
    expect(changes).toEqual([true, false]);
  });

  it('reads a body once there is room for it, the most urgent one first', async () => {
    const first = guard.tryAdmit({ urgency: LEAST_URGENT, bytes: 4 * requestBytes })!;
    const other = guard.tryAdmit({ urgency: LEAST_URGENT, bytes: requestBytes })!;
    const admitted: string[] = [];
    const wait = async (name: string, urgency: number) => {
      const holding = await guard.admit({ urgency, bytes: 8 * requestBytes });
      admitted.push(holding === undefined ? `${name} refused` : name);
    };
    const waits = [wait('late', LEAST_URGENT), wait('urgent', MORE_URGENT)];
    expect(admitted).toEqual([]);
    first.release();
    other.release();
    await waits[1];
    expect(admitted).toEqual(['urgent']);
    clock.advance(maxBodyWait);
    await waits[0];
    expect(admitted).toEqual(['urgent', 'late refused']);
  });

  it('holds nothing for a request that was refused after a wait', async () => {
    const wait = guard.admit({ urgency: LEAST_URGENT, bytes: 2 * ROOM });
    clock.advance(maxBodyWait);
    expect(await wait).toBeUndefined();
    expect(guard.held.total).toBe(0);
  });

  it('admits everything without a budget', () => {
    const unbounded = new MemoryGuard({
      clock,
      budget: undefined,
      onChanged: () => undefined,
    });
    expect(unbounded.tryAdmit({ urgency: LEAST_URGENT, bytes: 1e12 })).toBeDefined();
    expect(unbounded.tryAdmit({ urgency: LEAST_URGENT, bytes: 1e12 })).toBeDefined();
  });
});
