import { FleetClock } from '../FleetClock/FleetClock.js';

const NOW = 1_700_000_000_000;

/** Records what the clocks of ten other daemons say, by how much each is off. */
function createTime(offsets: readonly number[]): FleetClock {
  const time = new FleetClock();
  offsets.forEach((offset, index) => time.record(`d-${index}`, NOW + offset, NOW));
  return time;
}

describe('FleetTime', () => {
  // Guards against usage that counts in another window after the clock of this machine has jumped.
  it('puts right a clock that is off against most others', () => {
    expect(createTime([2_000, 2_001, 1_999, 2_000, 2_002]).correct(NOW)).toBe(NOW + 2_000);
  });

  it('follows neither a few clocks that jump nor the time that messages take', () => {
    const late = Array<number>(7).fill(-4);
    expect(createTime([...late, 2_000, -2_000, 2_000]).correct(NOW)).toBe(NOW);
  });

  it('forgets daemons that have not been heard for long', () => {
    const time = createTime([2_000, 2_000, 2_000]);
    expect(time.correct(NOW + 60_000)).toBe(NOW + 60_000);
  });
});
