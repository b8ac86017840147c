import { AdmissionReplay } from '../../../../test/AdmissionReplay.js';
import type { ReplayCall, ReplayLoad } from '../../../../test/AdmissionReplay.js';

const SECOND = 1_000;

/** Requests per second that the engines of a replay can prefill: 8 engines, 100 ms a prompt. */
const CAPACITY = 80;

/** Time that an idle engine takes to the first token of a prompt. */
const PREFILL_TIME = 100;

const TARGET = 600;

function createLoad(factor: number, parts: Partial<ReplayLoad> = {}): ReplayLoad {
  return { from: 0, until: 4 * SECOND, perSecond: factor * CAPACITY, ...parts };
}

function countInTime(calls: readonly ReplayCall[]): number {
  return calls.filter((call) => AdmissionReplay.isInTime(call)).length;
}

/** Plays constant load, and gets the share of what the engines can do that is served in time. */
function getGoodput(factor: number): number {
  const replay = new AdmissionReplay();
  replay.play([createLoad(factor)]);
  return countInTime(replay.calls) / (4 * CAPACITY);
}

describe('EngineAdmission under overload', () => {
  it.each([1, 1.5, 2.5, 5, 10])('serves what engines can do in time at %d times that', (factor) => {
    // Guards against engines that work on requests that are late already, so that none is in time.
    expect(getGoodput(factor)).toBeGreaterThanOrEqual(0.85);
  });

  it('recovers from a slow spell of engines that have more slots than they prefill for', () => {
    // Guards against late requests that begin because slots are free, and keep all others late.
    const replay = new AdmissionReplay({ slots: 32 });
    const tokens = 7_000;
    const capacity = (CAPACITY * 4_000) / tokens;
    const setTokenTime = (at: number, tokenTime: number) =>
      replay.clock.setTimer(at, () => {
        replay.engines.forEach((engine) => Object.assign(engine.pace, { tokenTime }));
      });
    setTokenTime(SECOND, 0.1);
    setTokenTime(1.5 * SECOND, 0.025);
    replay.play([{ from: 0, until: 8 * SECOND, perSecond: 2.6 * capacity, tokens }]);
    const calls = replay.calls.filter(({ firstArrivedAt }) => firstArrivedAt >= 3 * SECOND);
    expect(countInTime(calls) / (5 * capacity)).toBeGreaterThanOrEqual(0.85);
  });

  it('serves calm load in time half a second after a burst', () => {
    // Guards against a backlog of late requests that outlasts the burst.
    const replay = new AdmissionReplay();
    replay.play([
      createLoad(0.6, { until: 10 * SECOND }),
      createLoad(1.9, { from: 2 * SECOND, until: 5 * SECOND }),
    ]);
    const isCalm = ({ firstArrivedAt }: ReplayCall) => firstArrivedAt >= 5.5 * SECOND;
    expect(replay.getInTimeShare(isCalm)).toBeGreaterThanOrEqual(0.97);
  });

  it('serves urgent requests in time beside twice what engines can do of others', () => {
    // Guards against urgent requests that wait behind what was sent to the engines before.
    const replay = new AdmissionReplay();
    replay.play([createLoad(0.4, { rank: 0 }), createLoad(2, { rank: 1 })]);
    const urgentShare = replay.getInTimeShare(({ load }) => load.rank === 0);
    expect(urgentShare).toBeGreaterThanOrEqual(0.95);
    expect(countInTime(replay.calls) / (4 * CAPACITY)).toBeGreaterThanOrEqual(0.85);
  });

  it('serves requests with a short target beside large ones with a long target', () => {
    // Guards against order of arrival, where waits approach the longest target and all others are late.
    const replay = new AdmissionReplay();
    const small = createLoad(1, { tokens: 800, latencyTarget: 400, from: 7 });
    const large = createLoad(1.2, { tokens: 9_000, latencyTarget: 800 });
    replay.play([small, large]);
    // Both get at least a quarter of what all get, relative to what they ask for.
    const leastShare = replay.getInTimeShare() / 4;
    [small, large].forEach((load) => {
      const share = replay.getInTimeShare((call) => call.load === load);
      expect(share).toBeGreaterThanOrEqual(leastShare);
    });
  });

  it('serves workspaces that ask for their part in time beside one that asks for all engines', () => {
    // Guards against one workspace whose requests are first in every queue.
    const replay = new AdmissionReplay();
    const small = ['a', 'b', 'c', 'd', 'e', 'f', 'g'].map((workspace, index) =>
      createLoad(0.1, { workspace, from: index * 17 }),
    );
    replay.play([createLoad(1.5, { workspace: 'large' }), ...small]);
    small.forEach((load) => {
      const share = replay.getInTimeShare((call) => call.load === load);
      expect(share).toBeGreaterThanOrEqual(0.9);
    });
  });

  it('serves most callers that return when they are asked to', () => {
    // Guards against callers that return together, or that are refused each time they return.
    const replay = new AdmissionReplay({ maxReturns: 5 });
    replay.play([createLoad(2), createLoad(0.25, { from: 4 * SECOND, until: 10 * SECOND })]);
    const served = replay.calls.filter(
      ({ firstTokenAt, arrivedAt }) =>
        firstTokenAt !== undefined && firstTokenAt <= arrivedAt + TARGET,
    );
    expect(served.length / replay.calls.length).toBeGreaterThanOrEqual(0.8);
  });

  it('refuses within an eighth of the target after a request can no longer be in time', () => {
    // Guards against requests that are held until their caller gives up.
    const replay = new AdmissionReplay();
    replay.play([createLoad(3)]);
    const refusals = replay.calls.flatMap((call) => call.refusals);
    expect(refusals.length).toBeGreaterThan(CAPACITY);
    refusals.forEach(({ applicant, decidedAt }) => {
      const latestStart = applicant.arrivedAt + TARGET - PREFILL_TIME;
      expect(decidedAt).toBeLessThanOrEqual(latestStart + TARGET / 8);
    });
  });
});
