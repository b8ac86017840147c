import { getHash } from '@apricotrill/utils';
import { Rotation } from './Rotation.js';

const DAEMONS = Array.from({ length: 195 }, (_item, index) => `edge-${index}`);

const MAX_COUNT = 20;

describe('Rotation', () => {
  it('returns every member once per round', () => {
    const rotation = new Rotation(7);
    const rounds = Array.from({ length: Math.ceil(DAEMONS.length / MAX_COUNT) }, () =>
      rotation.take(DAEMONS, MAX_COUNT),
    );
    expect(new Set(rounds.flat()).size).toBe(DAEMONS.length);
    expect(Math.max(...rounds.map((members) => members.length))).toBe(MAX_COUNT);
  });

  it('returns all members of a short list', () => {
    expect(new Rotation(7).take(['a', 'b'], MAX_COUNT)).toEqual(['a', 'b']);
  });

  // Guards against overload when all daemons start together: if all sent to the same 20 daemons,
  // each of these would receive 195 messages within the first second.
  it('starts at a different position in each daemon', () => {
    const received = new Map<string, number>();
    DAEMONS.flatMap((id) => new Rotation(getHash(id)).take(DAEMONS, MAX_COUNT)).forEach((id) =>
      received.set(id, (received.get(id) ?? 0) + 1),
    );
    expect(received.size).toBe(DAEMONS.length);
    expect(Math.max(...received.values())).toBeLessThanOrEqual(3 * MAX_COUNT);
  });
});
