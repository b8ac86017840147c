import type { ConfigurationSnapshot } from '@apricotrill/configuration';
import { ManualClock } from '@apricotrill/utils';
import { FirstConfiguration } from './FirstConfiguration.js';

const GRACE = 3000;

const LIMIT = 10_000;

function setUp() {
  const clock = new ManualClock();
  const released: number[] = [];
  const first = new FirstConfiguration({
    clock,
    options: { grace: GRACE, limit: LIMIT },
    release: ({ manifest }) => released.push(manifest.generation),
  });
  const offer = (generation: number) =>
    first.offer({ manifest: { generation } } as ConfigurationSnapshot);
  return { clock, released, first, offer };
}

describe('FirstConfiguration', () => {
  /*
   * Symptom: a restarted daemon serves by an older version than the one it served by before.
   * Sequence: the first peer that answers was frozen for long; the store's word comes later.
   * Cause: the first configuration that came was put in force.
   */
  it('waits for what the store says is accepted', () => {
    const { clock, released, first, offer } = setUp();
    offer(2);
    first.hearAccepted(3);
    clock.advance(GRACE);
    expect(released).toEqual([]);
    offer(3);
    offer(4);
    expect(released).toEqual([3, 4]);
    expect(first.generation).toBe(4);
  });

  /*
   * Symptom: the same, with the store down. Sequence: as above, while a second peer with the newer
   * version is heard a moment later. Cause: nobody waited for the other peers.
   */
  it('waits for the neighbours while the store says nothing', () => {
    const { clock, released, offer } = setUp();
    offer(2);
    clock.advance(GRACE - 1);
    offer(3);
    expect(released).toEqual([]);
    clock.advance(1);
    expect(released).toEqual([3]);
  });

  it('takes what there is when the accepted one can be had from nobody', () => {
    const { clock, released, first, offer } = setUp();
    first.hearAccepted(3);
    offer(2);
    clock.advance(LIMIT);
    expect(released).toEqual([2]);
  });
});
