import * as fc from 'fast-check';
import { DELAY, DutyFleet, WINDOW } from '../../test/DutyFleet.js';
import { PlatformFault } from '../../test/FakePlatform.js';
import { getWindowEnd } from '../usage/SourceUsage.js';

const RUNS = Number(process.env.APRICOTRILL_FUZZ_RUNS ?? 40);
const SEED = process.env.APRICOTRILL_FUZZ_SEED;

enum FaultKind {
  KillHolder = 'kill-holder',
  RestartHolder = 'restart-holder',
  FreezeHolder = 'freeze-holder',
  CutHolder = 'cut-holder',
  StoreDown = 'store-down',
  LostAnswers = 'lost-answers',
  Busy = 'busy',
  Silent = 'silent',
  LostCalls = 'lost-calls',
  LateCalls = 'late-calls',
}

const PLATFORM_FAULTS: Partial<Record<FaultKind, PlatformFault>> = {
  [FaultKind.Busy]: PlatformFault.Busy,
  [FaultKind.Silent]: PlatformFault.Silent,
  [FaultKind.LostCalls]: PlatformFault.Lost,
  [FaultKind.LateCalls]: PlatformFault.Late,
};

const fault = fc.record({
  kind: fc.constantFrom(...Object.values(FaultKind)),
  span: fc.integer({ min: 200, max: 8_000 }),
});

async function play(fleet: DutyFleet, kind: FaultKind, span: number): Promise<void> {
  const holder = Math.max(0, fleet.holder);
  const platformFault = PLATFORM_FAULTS[kind];
  if (platformFault !== undefined) {
    Object.assign(fleet.platform, { fault: platformFault });
    await fleet.run(span);
    Object.assign(fleet.platform, { fault: PlatformFault.None });
    return;
  }
  switch (kind) {
    case FaultKind.KillHolder:
      fleet.kill(holder);
      await fleet.run(span);
      fleet.restart(holder);
      break;
    case FaultKind.RestartHolder:
      fleet.restart(holder);
      await fleet.run(span);
      break;
    case FaultKind.FreezeHolder:
      fleet.freeze(holder);
      await fleet.run(span);
      fleet.wake(holder);
      break;
    case FaultKind.CutHolder:
      fleet.setCutOff(holder, true);
      await fleet.run(span);
      fleet.setCutOff(holder, false);
      break;
    case FaultKind.StoreDown:
      Object.assign(fleet, { isStoreDown: true });
      await fleet.run(span);
      Object.assign(fleet, { isStoreDown: false });
      break;
    case FaultKind.LostAnswers:
      Object.assign(fleet, { lostAnswers: 2 });
      await fleet.run(span);
      break;
    default:
      throw new Error(`no such fault: ${kind}`);
  }
}

describe('the duties of a fleet', () => {
  it('reports one and the same usage for each window, whoever holds the lease', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.integer({ min: 2, max: 6 }),
        fc.integer({ min: 1, max: 1_000_000 }),
        fc.array(fault, { minLength: 1, maxLength: 8 }),
        async (size, seed, faults) => {
          const fleet = new DutyFleet(size, seed);
          await fleet.run(8_000);
          for (const { kind, span } of faults) {
            // eslint-disable-next-line no-await-in-loop
            await play(fleet, kind, span);
          }
          await fleet.run(25_000);
          fleet.dispose();
          expect(fleet.platform.violations).toEqual([]);
          const reported = fleet.platform.reports.map(({ window }) => window);
          expect(new Set(reported).size).toBe(reported.length);
          const last = Math.max(...fleet.truth.keys());
          expect(reported).toContain(last - 2);
        },
      ),
      { numRuns: RUNS, seed: SEED === undefined ? 3 : Number(SEED) },
    );
  });

  it('reports the truth in time while nothing fails', async () => {
    const fleet = new DutyFleet(5, 1);
    await fleet.run(40_000);
    fleet.dispose();
    const windows = [...fleet.truth.keys()].slice(1, -2);
    windows.forEach((window) => {
      const report = fleet.platform.reports.find((one) => one.window === window);
      expect(report?.counts).toEqual(fleet.truth.get(window));
      expect(report!.at).toBeLessThan(getWindowEnd(window, WINDOW) + DELAY);
    });
  });

  // Guards against counts that are lost with the daemon that made the report.
  it('reports what a killed daemon had told', async () => {
    const fleet = new DutyFleet(4, 2);
    await fleet.run(12_000);
    const { holder } = fleet;
    fleet.kill(holder);
    await fleet.run(30_000);
    fleet.dispose();
    const windows = [...fleet.truth.keys()].slice(1, -2);
    windows.forEach((window) => {
      const report = fleet.platform.reports.find((one) => one.window === window);
      expect(report?.counts).toEqual(fleet.truth.get(window));
    });
  });

  // Guards against a platform that is away for longer than a window.
  it('reports the windows of an outage of the platform, those still in time first', async () => {
    const fleet = new DutyFleet(3, 3);
    await fleet.run(10_000);
    Object.assign(fleet.platform, { fault: PlatformFault.Silent });
    await fleet.run(22_000);
    Object.assign(fleet.platform, { fault: PlatformFault.None });
    const returned = fleet.clock.now();
    await fleet.run(15_000);
    fleet.dispose();
    const late = fleet.platform.reports.filter(({ at }) => at > returned);
    expect(getWindowEnd(late[0]!.window, WINDOW) + DELAY).toBeGreaterThan(returned);
    const reported = fleet.platform.reports.map(({ window }) => window);
    const windows = [...fleet.truth.keys()].slice(0, -2);
    expect(reported).toEqual(expect.arrayContaining(windows));
  });
});
