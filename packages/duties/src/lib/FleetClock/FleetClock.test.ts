import { FleetClock } from './FleetClock.js';

const NOW = 1_700_000_000_000;

/** Creates a clock with one reading of another daemon for each offset. */
function createFleetClock(offsets: readonly number[]): FleetClock {
  const fleetClock = new FleetClock();
  offsets.forEach((offset, index) => fleetClock.record(`d-${index}`, NOW + offset, NOW));
  return fleetClock;
}

describe('FleetClock', () => {
  // Guards against usage counted in the wrong window after the clock of this machine has jumped.
  it('corrects a clock that differs from most others', () => {
    expect(createFleetClock([2_000, 2_001, 1_999, 2_000, 2_002]).correct(NOW)).toBe(NOW + 2_000);
  });

  it('ignores a few wrong clocks and message latency', () => {
    const late = Array<number>(7).fill(-4);
    expect(createFleetClock([...late, 2_000, -2_000, 2_000]).correct(NOW)).toBe(NOW);
  });

  it('expires readings of daemons that stopped sending messages', () => {
    const fleetClock = createFleetClock([2_000, 2_000, 2_000]);
    expect(fleetClock.correct(NOW + 60_000)).toBe(NOW + 60_000);
  });
});
