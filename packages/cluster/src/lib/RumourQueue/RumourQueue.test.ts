import { MemberState } from '../Member.js';
import type { Rumour } from '../messages.js';
import { getRumourKey, RumourQueue } from './RumourQueue.js';

function createRumour(id: string, incarnation = 1): Rumour {
  const update = { id, incarnation, refutation: 0, state: MemberState.Dead as const };
  return { kind: 'member-state', update };
}

const NO_KEYS = new Set<string>();

function createQueue(ids: string[], sends: number) {
  const queue = new RumourQueue();
  ids.forEach((id) => queue.add(createRumour(id), sends));
  const take = (maxBytes: number, excludedKeys: ReadonlySet<string> = NO_KEYS) =>
    queue
      .take(maxBytes, excludedKeys, () => {})
      .map((rumour) => getRumourKey(rumour).split(' ')[1]);
  return { queue, take };
}

describe('RumourQueue', () => {
  it('sends each rumour the given number of times, the least sent first, within the size limit', () => {
    // Guards against starvation after a burst of rumours: if more are queued than fit into a message
    // and the same ones were sent first each time, the others would reach nobody.
    const { queue, take } = createQueue(['a', 'b', 'c'], 2);
    const BYTES_OF_TWO_RUMOURS = 50;
    const sent = [1, 2, 3].flatMap(() => take(BYTES_OF_TWO_RUMOURS));
    expect([...sent].sort()).toEqual(['a', 'a', 'b', 'b', 'c', 'c']);
    expect(sent.slice(0, 3).sort()).toEqual(['a', 'b', 'c']);
    expect(queue.size).toBe(0);
  });

  it('replaces an older rumour by a newer one, with the full number of sends', () => {
    const { queue, take } = createQueue(['a'], 2);
    take(1000);
    queue.add(createRumour('a', 2), 2);
    expect([...take(1000), ...take(1000), ...take(1000)]).toEqual(['a', 'a']);
  });

  it('does not send back what the receiver has just sent', () => {
    // Guards against a daemon missing a rumour until the next anti-entropy exchange: its peers
    // receive the rumour several times, and their responses would use up the sends on daemons that
    // already have it.
    const { take } = createQueue(['a', 'b'], 1);
    expect(take(1000, new Set([getRumourKey(createRumour('a'))]))).toEqual(['b']);
    expect(take(1000)).toEqual(['a']);
  });
});
