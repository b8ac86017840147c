import * as fc from 'fast-check';
import { REPORT_DEADLINE, DutyFleet, WINDOW } from '../../test/DutyFleet.js';
import { PlatformFault } from '../../test/FakePlatform.js';
import { getWindowEnd } from '../usage/SourceUsage.js';

const RUNS = Number(process.env.APRICOTRILL_FUZZ_RUNS ?? 40);
const SEED = process.env.APRICOTRILL_FUZZ_SEED;

enum FaultKind {
  KillHolder = 'kill-holder',
  RestartHolder = 'restart-holder',
  PauseHolder = 'pause-holder',
  PartitionHolder = 'partition-holder',
  StoreDown = 'store-down',
  LostResponses = 'lost-responses',
  Busy = 'busy',
  NoResponse = 'silent',
  LostCallResponses = 'lost-call-responses',
  DelayedCalls = 'delayed-calls',
}

const PLATFORM_FAULTS: Partial<Record<FaultKind, PlatformFault>> = {
  [FaultKind.Busy]: PlatformFault.Busy,
  [FaultKind.NoResponse]: PlatformFault.NoResponse,
  [FaultKind.LostCallResponses]: PlatformFault.ResponseLost,
  [FaultKind.DelayedCalls]: PlatformFault.Delayed,
};

const fault = fc.record({
  kind: fc.constantFrom(...Object.values(FaultKind)),
  duration: fc.integer({ min: 200, max: 8_000 }),
});

async function injectFault(fleet: DutyFleet, kind: FaultKind, duration: number): Promise<void> {
  const holder = Math.max(0, fleet.holder);
  const platformFault = PLATFORM_FAULTS[kind];
  if (platformFault !== undefined) {
    Object.assign(fleet.platform, { fault: platformFault });
    await fleet.run(duration);
    Object.assign(fleet.platform, { fault: PlatformFault.None });
    return;
  }
  switch (kind) {
    case FaultKind.KillHolder:
      fleet.kill(holder);
      await fleet.run(duration);
      fleet.restart(holder);
      break;
    case FaultKind.RestartHolder:
      fleet.restart(holder);
      await fleet.run(duration);
      break;
    case FaultKind.PauseHolder:
      fleet.pause(holder);
      await fleet.run(duration);
      fleet.resume(holder);
      break;
    case FaultKind.PartitionHolder:
      fleet.setPartitioned(holder, true);
      await fleet.run(duration);
      fleet.setPartitioned(holder, false);
      break;
    case FaultKind.StoreDown:
      Object.assign(fleet, { isStoreDown: true });
      await fleet.run(duration);
      Object.assign(fleet, { isStoreDown: false });
      break;
    case FaultKind.LostResponses:
      Object.assign(fleet, { lostResponses: 2 });
      await fleet.run(duration);
      break;
    default:
      throw new Error(`unknown fault: ${kind}`);
  }
}

describe('DutyManager', () => {
  it('reports the same usage once for each window, whichever daemon holds the lease', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.integer({ min: 2, max: 6 }),
        fc.integer({ min: 1, max: 1_000_000 }),
        fc.array(fault, { minLength: 1, maxLength: 8 }),
        async (size, seed, faults) => {
          const fleet = new DutyFleet(size, seed);
          await fleet.run(8_000);
          for (const { kind, duration } of faults) {
            // eslint-disable-next-line no-await-in-loop
            await injectFault(fleet, kind, duration);
          }
          await fleet.run(25_000);
          fleet.dispose();
          expect(fleet.platform.violations).toEqual([]);
          const reported = fleet.platform.reports.map(({ window }) => window);
          expect(new Set(reported).size).toBe(reported.length);
          const last = Math.max(...fleet.actualCounts.keys());
          expect(reported).toContain(last - 2);
        },
      ),
      { numRuns: RUNS, seed: SEED === undefined ? 3 : Number(SEED) },
    );
  });

  it('reports the correct counts before the deadline while nothing fails', async () => {
    const fleet = new DutyFleet(5, 1);
    await fleet.run(40_000);
    fleet.dispose();
    const windows = [...fleet.actualCounts.keys()].slice(1, -2);
    windows.forEach((window) => {
      const report = fleet.platform.reports.find((candidate) => candidate.window === window);
      expect(report?.counts).toEqual(fleet.actualCounts.get(window));
      expect(report!.at).toBeLessThan(getWindowEnd(window, WINDOW) + REPORT_DEADLINE);
    });
  });

  // Guards against counts lost with the daemon that recorded them.
  it('reports the counts that a killed daemon had sent', async () => {
    const fleet = new DutyFleet(4, 2);
    await fleet.run(12_000);
    const { holder } = fleet;
    fleet.kill(holder);
    await fleet.run(30_000);
    fleet.dispose();
    const windows = [...fleet.actualCounts.keys()].slice(1, -2);
    windows.forEach((window) => {
      const report = fleet.platform.reports.find((candidate) => candidate.window === window);
      expect(report?.counts).toEqual(fleet.actualCounts.get(window));
    });
  });

  // Guards against a window that is settled again, with other counts, because the store lost the ledger.
  it('reports the same counts after the store came back from a copy without the ledger', async () => {
    const fleet = new DutyFleet(3, 4);
    await fleet.run(20_000);
    fleet.loseLedger();
    await fleet.run(30_000);
    fleet.dispose();
    expect(fleet.platform.violations).toEqual([]);
    const reported = fleet.platform.reports.map(({ window }) => window);
    expect(new Set(reported).size).toBe(reported.length);
    expect(reported).toEqual(expect.arrayContaining([...fleet.actualCounts.keys()].slice(1, -2)));
  });

  // Guards against a platform outage that lasts longer than a window.
  it('reports all windows after a platform outage, those within their deadline first', async () => {
    const fleet = new DutyFleet(3, 3);
    await fleet.run(10_000);
    Object.assign(fleet.platform, { fault: PlatformFault.NoResponse });
    await fleet.run(22_000);
    Object.assign(fleet.platform, { fault: PlatformFault.None });
    const returned = fleet.clock.now();
    await fleet.run(15_000);
    fleet.dispose();
    const late = fleet.platform.reports.filter(({ at }) => at > returned);
    expect(getWindowEnd(late[0]!.window, WINDOW) + REPORT_DEADLINE).toBeGreaterThan(returned);
    const reported = fleet.platform.reports.map(({ window }) => window);
    const windows = [...fleet.actualCounts.keys()].slice(0, -2);
    expect(reported).toEqual(expect.arrayContaining(windows));
  });
});
