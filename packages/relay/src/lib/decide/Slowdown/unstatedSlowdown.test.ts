import { createHash } from 'node:crypto';
import { UnevenFleet } from '../../../test/UnevenFleet.js';

/** Replicas of uneven speed whose machines are slow from time to time, which they do not state. */
const LOAD = {
  speeds: [0.55, 1.2, 1.2, 1.2],
  spells: { share: 0.15, factor: 2.5, length: 600 },
  isStated: false,
  work: 100,
  load: 0.75,
  duration: 10_000,
  latencyTarget: 400,
  seed: 5,
};

/** Identifies all choices of a replay with their estimates. */
function getDigest(isPlain: boolean): { choices: number; digest: string } {
  const { choices } = new UnevenFleet({ ...LOAD, isPlain }).run();
  const lines = choices.map(({ replica, cost, expected }) => `${replica} ${cost} ${expected}`);
  return {
    choices: choices.length,
    digest: createHash('sha256').update(lines.join('\n')).digest('hex').slice(0, 16),
  };
}

// Guards against other decisions for replicas that state no slowdown: each choice and its estimates are
// the same to the last digit as before slowdowns were read.
describe('replicas that state no slowdown', () => {
  it('get the same requests: engines', () => {
    expect(getDigest(false)).toEqual({ choices: 290, digest: 'a15d6cec80304ffc' });
  });

  it('get the same requests: plain services', () => {
    expect(getDigest(true)).toEqual({ choices: 1697, digest: '7817b8ab939c6f97' });
  });
});
