import { getHash } from '@apricotrill/utils';
import { Rotation } from './Rotation.js';

const DAEMONS = Array.from({ length: 195 }, (_item, index) => `edge-${index}`);

const MOST = 20;

describe('Rotation', () => {
  it('takes each member once in a round', () => {
    const rotation = new Rotation(7);
    const rounds = Array.from({ length: Math.ceil(DAEMONS.length / MOST) }, () =>
      rotation.take(DAEMONS, MOST),
    );
    expect(new Set(rounds.flat()).size).toBe(DAEMONS.length);
    expect(Math.max(...rounds.map((taken) => taken.length))).toBe(MOST);
  });

  it('takes all of a short list', () => {
    expect(new Rotation(7).take(['a', 'b'], MOST)).toEqual(['a', 'b']);
  });

  // Guards against a start of all daemons at which all tell the same twenty: these would hear 195
  // messages in the second in which nobody else is served either.
  it('begins at another place in each daemon', () => {
    const heard = new Map<string, number>();
    DAEMONS.flatMap((id) => new Rotation(getHash(id)).take(DAEMONS, MOST)).forEach((id) =>
      heard.set(id, (heard.get(id) ?? 0) + 1),
    );
    expect(heard.size).toBe(DAEMONS.length);
    expect(Math.max(...heard.values())).toBeLessThanOrEqual(3 * MOST);
  });
});
