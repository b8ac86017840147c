import { createRandom } from '@apricotrill/utils';
import { SlowdownPersistence } from './SlowdownPersistence.js';

/** States 2.5 during spells of this length, one in seven of the time, and 1 otherwise. */
function learn(persistence: SlowdownPersistence, spell: number, gap: number): void {
  const random = createRandom(7);
  const mean = 1.225;
  let previous = 1 - mean;
  for (let now = 0; now < 400 * spell; now += gap * (0.5 + random.next())) {
    const value = (now % (spell / 0.15) < spell ? 2.5 : 1) - mean;
    persistence.record(gap, previous, value);
    previous = value;
  }
}

describe('SlowdownPersistence', () => {
  it('starts with a default that falls with the age of a statement', () => {
    const persistence = new SlowdownPersistence();
    const shares = [0, 50, 200, 1_000, 5_000, 60_000].map((age) => persistence.getShare(age));
    expect(shares[0]).toBe(1);
    expect(shares[1]).toBeGreaterThan(0.8);
    expect(shares[2]).toBeLessThan(0.7);
    expect(shares[3]).toBeLessThan(0.2);
    expect(shares[5]).toBeLessThan(0.001);
    expect([...shares].sort((one, other) => other - one)).toEqual(shares);
  });

  // Guards against replicas that are avoided long after their spell, or get work in the middle of it.
  it('learns whether spells are long or short', () => {
    const long = new SlowdownPersistence();
    learn(long, 6_000, 300);
    expect(long.getShare(300)).toBeGreaterThan(0.85);
    const short = new SlowdownPersistence();
    learn(short, 200, 300);
    expect(short.getShare(300)).toBeLessThan(0.2);
  });

  it('stays between 0 and 1 whatever is stated', () => {
    const persistence = new SlowdownPersistence();
    const random = createRandom(3);
    for (let index = 0; index < 2_000; index += 1) {
      persistence.record(random.next() * 4_000, random.next() * 9, random.next() * -9);
    }
    [0, 10, 300, 3_000, 1e9].forEach((age) => {
      expect(persistence.getShare(age)).toBeGreaterThanOrEqual(0);
      expect(persistence.getShare(age)).toBeLessThanOrEqual(1);
    });
  });
});
