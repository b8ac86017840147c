import { AdmissionScenario } from '../../../test/AdmissionScenario.js';
import { createPrompt, createRequest } from '../../../test/fixtures.js';
import { AttemptEnd, GiveUpReason, Outcome, ProbeResult } from '../messages.js';
import type { PlacementEffect, PlacementUpdate } from '../messages.js';

type UpdateOf<K extends PlacementUpdate['kind']> = Extract<PlacementUpdate, { kind: K }>;

function getShared<K extends PlacementUpdate['kind']>(
  { fleet }: AdmissionScenario,
  kind: K,
): { daemon: string; to: string | undefined; update: UpdateOf<K> }[] {
  return fleet.effects.flatMap(({ daemon, effect }) =>
    effect.kind === 'share' && effect.update.kind === kind
      ? [{ daemon, to: effect.to, update: effect.update as UpdateOf<K> }]
      : [],
  );
}

function getEffects<K extends PlacementEffect['kind']>(
  { fleet }: AdmissionScenario,
  kind: K,
): Extract<PlacementEffect, { kind: K }>[] {
  return fleet.effects.flatMap(({ effect }) =>
    effect.kind === kind ? [effect as Extract<PlacementEffect, { kind: K }>] : [],
  );
}

describe('requests under admission control', () => {
  it('are delegated in a small fleet, and their placer hears the load with the first byte', () => {
    const scenario = new AdmissionScenario(3);
    const { fleet, placer, other } = scenario;
    const id = scenario.submit(other);
    scenario.settle();
    expect(getShared(scenario, 'ask').at(-1)).toMatchObject({
      daemon: other,
      to: placer,
      update: { query: { claim: { group: 'llm', workspace: 'w', fingerprint: id } } },
    });
    const load = { running: 1, waiting: 0, slots: 4, slowdown: 1 };
    expect(getShared(scenario, 'first-byte-received').at(-1)).toMatchObject({
      daemon: other,
      to: placer,
      update: { load },
    });
    const replica = getEffects(scenario, 'send').at(-1)!.replica.id;
    const state = fleet.get(placer).harness.core.registry.findReplica(replica);
    expect(state?.lastReport).toMatchObject({ report: load });
  });

  it('have loads that only the first placer of their group announces', () => {
    const scenario = new AdmissionScenario(3);
    const getLoads = (name: string) =>
      scenario.fleet
        .get(name)
        .harness.core.getPeriodicUpdates()
        .filter(({ kind }) => kind === 'group-loads');
    expect(getLoads(scenario.placer)).toEqual([
      { kind: 'group-loads', service: 'llm', loads: [{ group: 'llm', expectedWait: 0, room: 8 }] },
    ]);
    expect(getLoads(scenario.deputy)).toEqual([]);
    expect(getLoads(scenario.other)).toEqual([]);
  });

  // Guards against callers that are told that a request has not run after an attempt of it has.
  it.each([
    [AttemptEnd.Failed, { kind: 'settle' }],
    [
      AttemptEnd.Broken,
      { kind: 'give-up', outcome: Outcome.Unknown, reason: GiveUpReason.MayHaveRun },
    ],
    [
      AttemptEnd.NotSent,
      { kind: 'give-up', outcome: Outcome.NotRun, reason: GiveUpReason.Overload },
    ],
  ])('get the usual end if no further attempt is admitted: %s', (end, expected) => {
    const scenario = new AdmissionScenario(1);
    const [daemon] = scenario.daemons;
    const { harness } = scenario.fleet.get(daemon!);
    // A broken attempt at a replica that is up makes nothing suspect of crashing it.
    harness.probeResult = ProbeResult.Up;
    // The target has passed when the attempt ends.
    const parts = { service: 'llm', latencyTarget: 300, deadline: 3_000 };
    const prompt = createPrompt([['own', 2_000]]);
    harness.submit(createRequest('r', { ...parts, prompt, isRetryable: true }));
    // The engines read for some 400 ms, so that none has room when the attempt ends.
    Array.from({ length: 8 }, () => scenario.submit(daemon!));
    harness.clock.advance(350);
    harness.end('r', 1, end);
    expect(harness.getAttemptedReplicas('r')).toHaveLength(1);
    const last = harness.effects.filter((effect) => 'id' in effect && effect.id === 'r').at(-1);
    expect(last).toMatchObject({ id: 'r', ...expected });
  });

  it('are placed by one of many daemons only where a slot is free if no placer responds', () => {
    const scenario = new AdmissionScenario(3, {});
    const { fleet, placer, deputy, other } = scenario;
    fleet.freeze(placer);
    fleet.freeze(deputy);
    const ids = scenario.load(100, 500, [other]);
    fleet.advance(200);
    const sent = ids.filter((id) => fleet.sent.has(id));
    expect(sent.length).toBeGreaterThanOrEqual(8);
    fleet.engines.forEach(({ mostHeld }) => expect(mostHeld).toBeLessThanOrEqual(4));
    const refused = getEffects(scenario, 'give-up').filter(({ id }) => ids.includes(id));
    expect(refused.length).toBeGreaterThan(20);
    refused.forEach(({ id, outcome, reason, retryAfter }) => {
      expect({ outcome, reason }).toEqual({
        outcome: Outcome.NotRun,
        reason: GiveUpReason.Overload,
      });
      expect(retryAfter).toBeGreaterThan(0);
      expect(fleet.sent.has(id)).toBe(false);
    });
  });
});
