import { CoreHarness } from '../../../../test/CoreHarness.js';
import { createReplica, createRequest, createService } from '../../../../test/fixtures.js';
import { GiveUpReason, Outcome } from '../../messages.js';
import type { SharedLimit } from '../../messages.js';
import { placementOptions } from '../../placementOptions.js';
import { limitOptions } from '../limitOptions.js';

const REPLICAS = ['i-1', 'i-2'].map((id) => createReplica(id, { slots: 1_000 }));

/** Creates the core of daemon d-1 in a fleet of the given daemons. */
function createHarness(daemons: readonly string[] = ['d-1']) {
  const harness = new CoreHarness([createService('app', { maxConnections: 10_000 })], REPLICAS);
  harness.core.handle({ kind: 'fleet', self: 'd-1', daemons });
  return harness;
}

function stateLimit(harness: CoreHarness, replica: string, perSecond: number | undefined): void {
  harness.core.handle({
    kind: 'limit',
    replica,
    sentAt: harness.clock.now(),
    limit: perSecond === undefined ? undefined : { kind: 'rate', perSecond },
  });
}

function receiveLimits(harness: CoreHarness, limits: SharedLimit[]): void {
  harness.core.handle({ kind: 'peer-update', peer: 'd-2', update: { kind: 'limits', limits } });
}

/** Submits requests at a fixed interval. @returns the number sent to each replica */
function countSent(harness: CoreHarness, requests: number, gap: number): Map<string, number> {
  const counts = new Map<string, number>();
  for (let index = 0; index < requests; index += 1) {
    const id = `r-${harness.clock.now()}-${index}`;
    harness.submit(createRequest(id));
    const [replica] = harness.getAttemptedReplicas(id);
    if (replica !== undefined) {
      counts.set(replica, (counts.get(replica) ?? 0) + 1);
    }
    harness.clock.advance(gap);
  }
  return counts;
}

/** Creates two daemons that know the same limit, and counts the requests each sends to the replica. */
function createPair() {
  const pair = [createHarness(['d-1', 'd-2']), createHarness(['d-1', 'd-2'])] as const;
  pair[1].core.handle({ kind: 'fleet', self: 'd-2', daemons: ['d-1', 'd-2'] });
  pair.forEach((harness) => stateLimit(harness, 'i-1', 2));
  const counts = pair.map((harness) => countSent(harness, 50, 100).get('i-1') ?? 0);
  return { pair, counts };
}

describe('ReplicaLimits', () => {
  it('enforces the limit of a replica and sends the excess to others', () => {
    const harness = createHarness();
    stateLimit(harness, 'i-1', 2);
    const counts = countSent(harness, 100, 50);
    expect(counts.get('i-1')).toBeGreaterThanOrEqual(8);
    expect(counts.get('i-1')).toBeLessThanOrEqual(11);
    expect(counts.get('i-1')! + counts.get('i-2')!).toBe(100);
  });

  it('lets only one daemon send to a limited replica', () => {
    const { counts } = createPair();
    expect(Math.min(...counts)).toBe(0);
    expect(Math.max(...counts)).toBeGreaterThan(0);
  });

  it('applies changes and removal of a limit', () => {
    const harness = createHarness();
    stateLimit(harness, 'i-1', 2);
    stateLimit(harness, 'i-1', 4);
    harness.clock.advance(1);
    stateLimit(harness, 'i-1', undefined);
    expect(harness.getEffects('limited')).toMatchObject([
      { perSecond: 2, previous: undefined },
      { perSecond: 4, previous: 2 },
    ]);
    expect(harness.getEffects('unlimited')).toEqual([{ kind: 'unlimited', replica: 'i-1' }]);
    expect(harness.core.limits.getRates()).toEqual([]);
  });

  // Guards against a limit being lifted by a response that predates it.
  it('keeps a limit when a response to an earlier request states none', () => {
    const harness = createHarness();
    harness.clock.advance(100);
    stateLimit(harness, 'i-1', 2);
    harness.core.handle({ kind: 'limit', replica: 'i-1', sentAt: 50, limit: undefined });
    expect(harness.core.limits.getRates()).toEqual([['i-1', 2]]);
  });

  it('does not restore a lifted limit from outdated messages', () => {
    const harness = createHarness();
    stateLimit(harness, 'i-1', 2);
    harness.clock.advance(1_000);
    stateLimit(harness, 'i-1', undefined);
    receiveLimits(harness, [{ replica: 'i-1', perSecond: 2, age: 500 }]);
    expect(harness.core.limits.getRates()).toEqual([]);
    harness.clock.advance(1_000);
    receiveLimits(harness, [{ replica: 'i-1', perSecond: 3, age: 0 }]);
    expect(harness.core.limits.getRates()).toEqual([['i-1', 3]]);
  });

  it('repeats limits received from other daemons with their age', () => {
    const harness = createHarness();
    receiveLimits(harness, [{ replica: 'i-1', perSecond: 2, age: 300 }]);
    harness.clock.advance(200);
    expect(harness.core.getPeriodicUpdates()).toEqual([
      { kind: 'limits', limits: [{ replica: 'i-1', perSecond: 2, age: 500 }] },
    ]);
  });

  it('logs an invalid limit once and ignores it', () => {
    const harness = createHarness();
    const limit = { kind: 'invalid' as const, text: 'many' };
    [1, 2].forEach(() => harness.core.handle({ kind: 'limit', replica: 'i-1', sentAt: 0, limit }));
    expect(harness.getEffects('limit-refused')).toEqual([
      { kind: 'limit-refused', replica: 'i-1', text: 'many' },
    ]);
    expect(countSent(harness, 20, 10).get('i-1')).toBeGreaterThan(5);
  });

  // Guards against a replica that stays unused because no response can lift its limit.
  it('probes a limit that has been unconfirmed for too long', () => {
    const { pair, counts } = createPair();
    const other = pair[counts.indexOf(0)]!;
    other.clock.advance(limitOptions.confirmationTimeout + limitOptions.probeJitter);
    // The daemon that places for the group does not respond.
    const ids = ['a', 'b', 'c'];
    ids.forEach((id) => other.submit(createRequest(id)));
    other.clock.advance(placementOptions.askTimeout * 2);
    const replicas = ids.flatMap((id) => other.getAttemptedReplicas(id));
    expect(replicas.filter((replica) => replica === 'i-1')).toHaveLength(1);
    expect(replicas).toHaveLength(ids.length);
  });

  it('counts health checks against the limit', () => {
    const harness = createHarness();
    stateLimit(harness, 'i-1', 1);
    expect(harness.core.tryAcquireCheck('i-1')).toBe(false);
    harness.clock.advance(1_000);
    expect(harness.core.tryAcquireCheck('i-1')).toBe(true);
    expect(harness.core.tryAcquireCheck('i-1')).toBe(false);
    expect(harness.core.tryAcquireCheck('i-2')).toBe(true);
  });

  // Guards against an unbounded waiting list when all replicas are limited.
  it('rejects the least urgent requests when all replicas are limited, and sends the rest', () => {
    const harness = createHarness();
    REPLICAS.forEach(({ id }) => stateLimit(harness, id, 1));
    harness.submit(createRequest('urgent-1', { rank: 0 }));
    harness.submit(createRequest('late-1', { rank: 2 }));
    harness.submit(createRequest('urgent-2', { rank: 0 }));
    expect(harness.getEffects('give-up')).toMatchObject([
      { id: 'late-1', outcome: Outcome.NotRun, reason: GiveUpReason.Overload },
    ]);
    expect(harness.getEffects('give-up')[0]!.retryAfter).toBeGreaterThan(0);
    harness.clock.advance(1_200);
    expect(harness.getAttemptedReplicas('urgent-1')).toHaveLength(1);
    expect(harness.getAttemptedReplicas('urgent-2')).toHaveLength(1);
  });

  // Guards against rejections at the one daemon that most callers are connected to.
  it('lets as many requests wait at one of several daemons as the others leave room for', () => {
    const harness = createHarness();
    const daemons = Array.from({ length: 8 }, (_item, index) => `d-${index}`);
    harness.core.handle({ kind: 'fleet', self: 'd-0', daemons });
    const perSecond = 10;
    REPLICAS.forEach(({ id }) => stateLimit(harness, id, perSecond));
    const room = (REPLICAS.length * perSecond * limitOptions.maxWait) / 1_000;
    for (let index = 0; index < room; index += 1) {
      harness.submit(createRequest(`r-${index}`));
    }
    expect(harness.getEffects('give-up')).toEqual([]);
  });
});
