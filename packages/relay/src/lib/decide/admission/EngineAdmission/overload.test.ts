import { AdmissionReplay } from '../../../../test/AdmissionReplay.js';

const SECOND = 1_000;

/** Requests per second that the engines of a replay can prefill: 8 engines, 100 ms a prompt. */
const CAPACITY = 80;

/** Plays constant load, and gets the share of what the engines can do that is served in time. */
function getGoodput(factor: number): number {
  const span = 4 * SECOND;
  const replay = new AdmissionReplay();
  replay.play([{ from: 0, until: span, perSecond: factor * CAPACITY }]);
  const inTime = replay.calls.filter((call) => AdmissionReplay.isInTime(call)).length;
  return inTime / ((span / SECOND) * CAPACITY);
}

describe('overload of all engines', () => {
  it.each([1, 1.5, 2.5, 5, 10])('serves what engines can do in time at %d times that', (factor) => {
    // Guards against engines that work on requests that are late already, so that none is in time.
    expect(getGoodput(factor)).toBeGreaterThanOrEqual(0.85);
  });
});
