import type { ConfigurationSnapshot } from '@apricotrill/configuration';
import { ManualClock } from '@apricotrill/utils';
import { FirstConfiguration } from './FirstConfiguration.js';

const ACCEPTED_GENERATION_TIMEOUT = 3000;

const TIMEOUT = 10_000;

function setUp() {
  const clock = new ManualClock();
  const released: number[] = [];
  const first = new FirstConfiguration({
    clock,
    options: { acceptedGenerationTimeout: ACCEPTED_GENERATION_TIMEOUT, timeout: TIMEOUT },
    release: ({ manifest }) => released.push(manifest.generation),
  });
  const offer = (generation: number) =>
    first.offer({ manifest: { generation } } as ConfigurationSnapshot);
  return { clock, released, first, offer };
}

describe('FirstConfiguration', () => {
  /*
   * Guards against a restarted daemon that uses an older configuration than before its restart,
   * because it puts the first configuration it receives in force: the first peer to respond may have
   * been frozen for long, and the store's response arrives later.
   */
  it('waits for the generation that the store reports as accepted', () => {
    const { clock, released, first, offer } = setUp();
    offer(2);
    first.setAcceptedGeneration(3);
    clock.advance(ACCEPTED_GENERATION_TIMEOUT);
    expect(released).toEqual([]);
    offer(3);
    offer(4);
    expect(released).toEqual([3, 4]);
    expect(first.generation).toBe(4);
  });

  /*
   * Guards against the same fault while the store is down: another peer with the newer configuration
   * responds a moment after the first one.
   */
  it('waits for other peers while the store does not respond', () => {
    const { clock, released, offer } = setUp();
    offer(2);
    clock.advance(ACCEPTED_GENERATION_TIMEOUT - 1);
    offer(3);
    expect(released).toEqual([]);
    clock.advance(1);
    expect(released).toEqual([3]);
  });

  it('releases the latest configuration if no peer has the accepted one before the timeout', () => {
    const { clock, released, first, offer } = setUp();
    first.setAcceptedGeneration(3);
    offer(2);
    clock.advance(TIMEOUT);
    expect(released).toEqual([2]);
  });
});
