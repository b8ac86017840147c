import { MemberState } from '../Member.js';
import type { Rumour } from '../messages.js';
import { getRumourKey, RumourQueue } from './RumourQueue.js';

function createRumour(id: string, incarnation = 1): Rumour {
  const verdict = { id, incarnation, refutation: 0, state: MemberState.Dead as const };
  return { kind: 'verdict', verdict };
}

const NOBODY = new Set<string>();

function createQueue(ids: string[], sends: number) {
  const queue = new RumourQueue();
  ids.forEach((id) => queue.add(createRumour(id), sends));
  const take = (maxBytes: number, except: ReadonlySet<string> = NOBODY) =>
    queue.take(maxBytes, except, () => {}).map((rumour) => getRumourKey(rumour).split(' ')[1]);
  return { queue, take };
}

describe('RumourQueue', () => {
  it('tells each rumour as often as asked, the least told first, within the bound', () => {
    // Symptom: after a burst of news some of it reaches nobody.
    // Sequence: more rumours wait than fit a message.
    // Cause: the same ones are told first each time.
    const { queue, take } = createQueue(['a', 'b', 'c'], 2);
    const ROOM_FOR_TWO = 50;
    const told = [1, 2, 3].flatMap(() => take(ROOM_FOR_TWO));
    expect([...told].sort()).toEqual(['a', 'a', 'b', 'b', 'c', 'c']);
    expect(told.slice(0, 3).sort()).toEqual(['a', 'b', 'c']);
    expect(queue.size).toBe(0);
  });

  it('puts newer word in the place of older, with all its sends', () => {
    const { queue, take } = createQueue(['a'], 2);
    take(1000);
    queue.add(createRumour('a', 2), 2);
    expect([...take(1000), ...take(1000), ...take(1000)]).toEqual(['a', 'a']);
  });

  it('does not tell back what the receiver has just told', () => {
    // Symptom: one daemon misses a rumour, and learns of it only by a comparison of views.
    // Sequence: those around it hear the rumour from several, and answer each of them.
    // Cause: the answers use up the rumour's sends on those who know.
    const { take } = createQueue(['a', 'b'], 1);
    expect(take(1000, new Set([getRumourKey(createRumour('a'))]))).toEqual(['b']);
    expect(take(1000)).toEqual(['a']);
  });
});
