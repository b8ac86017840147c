import { ManualClock } from '@apricotrill/utils';
import type { Holding } from '../HeldBytes/Holding.js';
import { memoryOptions } from '../memoryOptions.js';
import { ProcessMemory } from '../ProcessMemory/ProcessMemory.js';
import { MemoryGuard } from './MemoryGuard.js';

const {
  admittedShare,
  heapAdmittedShare,
  leastUrgentShare,
  maxBodyWait,
  minBudgetBytes,
  processAdmittedShare,
  processLeastUrgentShare,
  readInterval,
  reopenShare,
  requestBytes,
} = memoryOptions;

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
      heapLimit: undefined,
      onChanged: (isFull) => changes.push(isFull),
    });
  });

  it('refuses requests at once while memory is full, and reports the change', () => {
    const applicant = { urgency: LEAST_URGENT, bytes: 0, headBytes: 0 };
    const holdings = Array.from({ length: 10 }, () => guard.tryAdmit(applicant));
    expect(holdings).not.toContain(undefined);
    expect(guard.admit(applicant)).toBeUndefined();
    expect(guard.tryAdmit({ urgency: 1, bytes: 0, headBytes: 0 })).toBeDefined();
    expect(changes).toEqual([true]);
    holdings.slice(0, 5).forEach((holding) => holding!.release());
    expect(guard.tryAdmit(applicant)).toBeDefined();
    expect(changes).toEqual([true, false]);
  });

  it('reads a body once there is room for it, the most urgent one first', async () => {
    const first = guard.tryAdmit({ urgency: LEAST_URGENT, bytes: 4 * requestBytes, headBytes: 0 })!;
    const other = guard.tryAdmit({ urgency: LEAST_URGENT, bytes: requestBytes, headBytes: 0 })!;
    const admitted: string[] = [];
    const wait = async (name: string, urgency: number) => {
      const holding = await guard.admit({ urgency, bytes: 8 * requestBytes, headBytes: 0 });
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
    const wait = guard.admit({ urgency: LEAST_URGENT, bytes: 2 * ROOM, headBytes: 0 });
    clock.advance(maxBodyWait);
    expect(await wait).toBeUndefined();
    expect(guard.held.total).toBe(0);
  });

  // Guards against heads that fill the heap of the engine, which ends the process, while its memory is not full.
  it('refuses requests while the heap is full, and admits them again after a collection', () => {
    const heapLimit = 1_000 * requestBytes;
    const bounded = new MemoryGuard({
      clock,
      budget: undefined,
      heapLimit,
      onChanged: (isFull) => changes.push(isFull),
    });
    const applicant = { urgency: 1, bytes: 0, headBytes: 9 * requestBytes };
    bounded.recordCollection(0);
    const holdings: (Holding | undefined)[] = [];
    while (holdings.at(-1) !== undefined || holdings.length === 0) {
      holdings.push(bounded.tryAdmit(applicant));
    }
    expect(holdings).toHaveLength(heapAdmittedShare * 100 + 1);
    expect(bounded.heapBytes).toBe(heapAdmittedShare * heapLimit);
    expect(changes).toEqual([true]);
    bounded.recordCollection(heapLimit / 2);
    expect(bounded.tryAdmit(applicant)).toBeDefined();
    expect(changes).toEqual([true, false]);
  });

  // Guards against a daemon that refuses requests for what others took that have ended.
  it('admits as many requests after others have ended as a collection would have it admit', () => {
    const requests = 900;
    const usedBytes = 75_000 * requests;
    const bounded = new MemoryGuard({
      clock,
      budget: undefined,
      heapLimit: (usedBytes * 1.01) / heapAdmittedShare,
      onChanged: (isFull) => changes.push(isFull),
    });
    const applicant = { urgency: 1, bytes: 0, headBytes: 0 };
    const admitAll = () => Array.from({ length: requests }, () => bounded.tryAdmit(applicant));
    bounded.recordCollection(0);
    const holdings = admitAll();
    bounded.recordCollection(usedBytes);
    holdings.forEach((holding) => holding!.release());
    expect(bounded.heapBytes).toBe(0);
    expect(admitAll()).not.toContain(undefined);
    expect(bounded.heapBytes).toBe(usedBytes);
  });

  // Guards against a daemon that serves nobody since it needs most of the heap itself.
  it('admits a few requests however much of the heap is in use', () => {
    const bounded = new MemoryGuard({
      clock,
      budget: undefined,
      heapLimit: minBudgetBytes,
      onChanged: () => undefined,
    });
    bounded.recordCollection(minBudgetBytes);
    const applicant = { urgency: LEAST_URGENT, bytes: 0, headBytes: minBudgetBytes / 2 };
    expect(bounded.tryAdmit(applicant)).toBeDefined();
    expect(bounded.tryAdmit(applicant)).toBeUndefined();
  });

  describe('with a limit of the process', () => {
    const LIMIT = 1_000 * minBudgetBytes;
    const SMALL = { urgency: LEAST_URGENT, bytes: 0, headBytes: 0 };
    let rss: number;
    let bounded: MemoryGuard;

    beforeEach(() => {
      rss = 0;
      bounded = new MemoryGuard({
        clock,
        budget: LIMIT,
        heapLimit: undefined,
        process: new ProcessMemory({
          clock,
          limit: LIMIT,
          readRss: () => rss,
        }),
        onChanged: (isFull) => changes.push(isFull),
      });
    });

    function setRss(bytes: number): void {
      rss = bytes;
      clock.advance(readInterval);
    }

    // Guards against a process that is killed since it uses far more than is counted as held.
    it('refuses requests once it uses most of it, the least urgent ones first', () => {
      bounded.tryAdmit({ urgency: 1, bytes: minBudgetBytes, headBytes: 0 });
      setRss(LIMIT * processAdmittedShare * processLeastUrgentShare + 1);
      expect(bounded.admit(SMALL)).toBeUndefined();
      expect(bounded.tryAdmit({ ...SMALL, urgency: 1 })).toBeDefined();
      setRss(LIMIT * processAdmittedShare + 1);
      expect(bounded.tryAdmit({ ...SMALL, urgency: 1 })).toBeUndefined();
      setRss(LIMIT * processAdmittedShare * processLeastUrgentShare * reopenShare);
      expect(bounded.tryAdmit(SMALL)).toBeDefined();
      expect(bounded.tryAdmit({ ...SMALL, urgency: 1 })).toBeDefined();
      expect(changes).toEqual([true, false]);
    });

    // Guards against a daemon that serves nobody since memory that was freed stays with the process.
    it('admits a few requests however much it uses', () => {
      setRss(LIMIT);
      const holding = bounded.tryAdmit({ ...SMALL, bytes: minBudgetBytes - requestBytes });
      expect(holding).toBeDefined();
      expect(bounded.tryAdmit(SMALL)).toBeUndefined();
      holding!.release();
      expect(bounded.tryAdmit(SMALL)).toBeDefined();
    });
  });

  it('admits everything without a budget', () => {
    const unbounded = new MemoryGuard({
      clock,
      budget: undefined,
      heapLimit: undefined,
      onChanged: () => undefined,
    });
    expect(unbounded.tryAdmit({ urgency: LEAST_URGENT, bytes: 1e12, headBytes: 0 })).toBeDefined();
    expect(unbounded.tryAdmit({ urgency: LEAST_URGENT, bytes: 1e12, headBytes: 0 })).toBeDefined();
  });
});
