import { getRendezvousOrder } from '@apricotrill/utils';
import { CoreHarness } from '../../../test/CoreHarness.js';
import { createReplica, createRequest, createService } from '../../../test/fixtures.js';
import { AttemptEnd } from '../messages.js';
import { fragilityOptions } from './fragilityOptions.js';

const DAEMONS = ['d-0', 'd-1', 'd-2'];

const SLOTS = 2;

const REPLICA = 'i-0';

function state(harness: CoreHarness): void {
  const replicas = [{ replica: REPLICA, threshold: 3, age: 0 }];
  harness.core.handle({ kind: 'peer-update', peer: 'd-x', update: { kind: 'fragile', replicas } });
}

/** One daemon of a fleet that knows the replicas to be fragile. */
function createMember(self: string): CoreHarness {
  const harness = new CoreHarness(
    [createService('app')],
    [createReplica(REPLICA, { slots: SLOTS })],
  );
  harness.core.handle({ kind: 'fleet', self, daemons: DAEMONS });
  harness.core.handle({ kind: 'daemons', count: DAEMONS.length });
  state(harness);
  return harness;
}

const [PLACER, DEPUTY] = getRendezvousOrder('app', DAEMONS) as [string, string];

const OTHER = DAEMONS.find((name) => name !== PLACER && name !== DEPUTY)!;

describe('slots of fragile replicas', () => {
  const getAsked = (harness: CoreHarness) =>
    harness
      .getEffects('share')
      .filter(({ update }) => update.kind === 'ask')
      .map(({ to }) => to);

  // Guards against a deputy that gives the same slot as a placer that is late.
  it('are asked for at the deputy only after the placer has been silent for a while', () => {
    const harness = createMember(OTHER);
    harness.submit(createRequest('r', { latencyTarget: 5_000, deadline: 6_000 }));
    harness.clock.advance(fragilityOptions.takeoverDelay - 100);
    expect(new Set(getAsked(harness))).toEqual(new Set([PLACER]));
    harness.clock.advance(200);
    expect(getAsked(harness)).toContain(DEPUTY);
  });

  // Guards against daemons that fill slots by their own knowledge when no placer responds.
  it('are never taken without a placer; the request is refused as not run once it is late', () => {
    const harness = createMember(OTHER);
    harness.submit(createRequest('r', { latencyTarget: 2_000, deadline: 6_000 }));
    harness.clock.advance(5_000);
    expect(harness.getEffects('send')).toEqual([]);
    const [refusal] = harness.getEffects('give-up');
    expect(refusal).toMatchObject({ id: 'r', outcome: 'not-run' });
    expect(refusal!.retryAfter).toBeGreaterThan(0);
  });

  // Guards against placers that spend their time on refusing the same requests again and again.
  it('are asked for once by each request that waits', () => {
    const harness = createMember(OTHER);
    harness.submit(createRequest('r', { latencyTarget: 1_000, deadline: 6_000 }));
    const [asked] = harness
      .getEffects('share')
      .flatMap(({ update }) => (update.kind === 'ask' ? [update.query.key] : []));
    const response = { key: asked!, queued: { expectedWait: 400 } };
    harness.core.handle({ kind: 'peer-update', peer: PLACER, update: { kind: 'reply', response } });
    harness.clock.advance(400);
    expect(getAsked(harness)).toEqual([PLACER]);
  });

  // Guards against a restarted placer that gives slots of which it does not know that they are taken.
  it('are left to the deputy by a daemon that has just become a placer', () => {
    const harness = createMember(PLACER);
    harness.submit(createRequest('r', { latencyTarget: 1_000, deadline: 6_000 }));
    expect(harness.getEffects('send')).toEqual([]);
    expect(getAsked(harness)).toEqual([DEPUTY]);
  });

  // Guards against slots that count as free though the replica still runs what nobody waits for.
  it('stay taken while the replica may go on with a request whose caller has left', () => {
    const harness = new CoreHarness(
      [createService('app')],
      [createReplica(REPLICA, { slots: SLOTS })],
    );
    state(harness);
    ['a', 'b'].forEach((id) => harness.submit(createRequest(id, { deadline: 6_000 })));
    ['a', 'b'].forEach((id) => harness.core.handle({ kind: 'caller-left', id }));
    harness.submit(createRequest('c', { latencyTarget: 10_000, deadline: 20_000 }));
    expect(harness.getEffects('send').map(({ id }) => id)).toEqual(['a', 'b']);
    harness.clock.advance(fragilityOptions.maxAbandonedTime);
    expect(harness.getEffects('send').map(({ id }) => id)).toEqual(['a', 'b', 'c']);
  });

  it('are free earlier if the replica states that it runs fewer requests', () => {
    const harness = new CoreHarness(
      [createService('app')],
      [createReplica(REPLICA, { slots: SLOTS })],
    );
    state(harness);
    ['a', 'b'].forEach((id) => harness.submit(createRequest(id, { deadline: 6_000 })));
    harness.core.handle({ kind: 'caller-left', id: 'a' });
    harness.submit(createRequest('c', { latencyTarget: 10_000, deadline: 20_000 }));
    harness.clock.advance(2 * fragilityOptions.reportDelay);
    const report = { running: 0, waiting: 0, slots: SLOTS };
    harness.core.handle({ kind: 'load', replica: REPLICA, report });
    expect(harness.getEffects('send').map(({ id }) => id)).toEqual(['a', 'b', 'c']);
  });

  // Guards against a second attempt that takes another slot while the replica goes on with the first.
  it('are not taken twice for a request whose replica has not responded yet', () => {
    const replicas = [REPLICA, 'i-1'].map((id) => createReplica(id, { slots: SLOTS }));
    const harness = new CoreHarness([createService('app')], replicas);
    state(harness);
    harness.submit(createRequest('r', { maxAttempts: 2, deadline: 6_000 }));
    harness.clock.advance(1_000);
    expect(harness.getEffects('cancel')).toEqual([]);
    harness.end('r', 1, AttemptEnd.Completed);
    expect(harness.getEffects('settle')).toHaveLength(1);
  });

  // Guards against replicas that fall over under the health checks of a whole fleet.
  it('are left alone by health checks, except one a second of the placer', () => {
    expect(createMember(OTHER).core.tryAcquireCheck(REPLICA)).toBe(false);
    expect(createMember(DEPUTY).core.tryAcquireCheck(REPLICA)).toBe(false);
    const harness = createMember(PLACER);
    expect(harness.core.tryAcquireCheck(REPLICA)).toBe(true);
    harness.clock.advance(fragilityOptions.window - 1);
    expect(harness.core.tryAcquireCheck(REPLICA)).toBe(false);
    harness.clock.advance(1);
    expect(harness.core.tryAcquireCheck(REPLICA)).toBe(true);
  });
});
