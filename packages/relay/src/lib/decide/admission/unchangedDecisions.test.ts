import { createRandom } from '@apricotrill/utils';
import { createHash } from 'node:crypto';
import { CoreFleet } from '../../../test/CoreFleet.js';
import {
  createEngineService,
  createEngines,
  createPrompt,
  createReplica,
  createRequest,
  createService,
} from '../../../test/fixtures.js';
import type { PlacementEffect } from '../messages.js';

const STEPS = 400;

interface Recorded {
  daemons: number;
  /** Whether the engines state a limit of requests per second. */
  isLimited: boolean;
  seed: number;
}

/** Removes what only the log needs, and what was added to it after the hashes were recorded. */
function getDecision(effect: PlacementEffect): object {
  if (effect.kind !== 'placer-silent') {
    return effect;
  }
  const { kind, peer, span } = effect;
  return { kind, peer, span };
}

/** Plays a seeded sequence of requests, reports and failures, and returns a hash of all effects. */
function getEffectsHash({ daemons, isLimited, seed }: Recorded): string {
  const random = createRandom(seed);
  const names = Array.from({ length: daemons }, (_item, index) => `d-${index}`);
  const engines = createEngines(6);
  const fleet = new CoreFleet({
    daemons: names,
    services: [createEngineService('llm'), createService('app')],
    replicas: [...engines, createReplica('p-0'), createReplica('p-1')],
    engine: { slots: 4, prefillTime: 40, streamTime: 300 },
    getFate: () => (random.next() < 0.05 ? [] : [random.next() < 0.1 ? 150 : 2]),
  });
  const pick = (count: number) => Math.floor(random.next() * count);
  for (let step = 0; step < STEPS; step += 1) {
    const daemon = names[pick(daemons)]!;
    const { core } = fleet.get(daemon).harness;
    const engine = engines[pick(6)]!.id;
    const now = fleet.get(daemon).harness.clock.now();
    const isEngine = random.next() < 0.8;
    const prompt = createPrompt([
      [`s-${pick(5)}`, 1_000],
      [`r-${step}`, 200 + pick(2_000)],
    ]);
    const parts = isEngine
      ? { service: 'llm', prompt, latencyTarget: 600, pauseTarget: 100 }
      : { service: 'app' };
    const request = { ...parts, rank: pick(3), maxAttempts: 3, deadline: 3_000 };
    fleet.submit(daemon, createRequest(`r-${step}`, request));
    if (random.next() < 0.1) {
      core.handle({ kind: 'caller-left', id: `r-${pick(step + 1)}` });
    }
    if (random.next() < 0.02) {
      fleet.engines.get(engine)!.crash();
      fleet.engines.get(engine)!.isUp = true;
    }
    if (isLimited && random.next() < 0.1) {
      const limit = { kind: 'rate' as const, perSecond: 20 + pick(20) };
      core.handle({ kind: 'limit', replica: engine, sentAt: now, limit });
    }
    fleet.advance(1 + pick(15));
  }
  fleet.advance(5_000);
  const decisions = fleet.effects.filter(({ effect }) => effect.kind !== 'response-unused');
  const text = decisions.map(({ daemon, effect }) =>
    JSON.stringify([
      daemon,
      getDecision(effect),
      effect.kind === 'follow-caches' ? [...(effect.engines ?? [])] : '',
    ]),
  );
  expect(text.length).toBeGreaterThan(2 * STEPS);
  return createHash('sha256').update(text.join('\n')).digest('hex');
}

describe('services whose replicas state no slowdown', () => {
  // Guards against decisions that change where nothing calls for admission. The hashes were recorded
  // before the placement core had any.
  it.each([
    [
      { daemons: 1, isLimited: false, seed: 1 },
      '2f610216b6e34e41bb5b6c75c7274e5b42bd5d3659422904dce65ff497fbe849',
    ],
    [
      { daemons: 3, isLimited: false, seed: 2 },
      '82e28c7cb3fe77c37f359e2850a08dba305f678a7d1e0d9ebdebf9f3c00a613d',
    ],
    [
      { daemons: 3, isLimited: true, seed: 3 },
      '1fa41a5ea7fb595ae3ab74614c2a2cd837aaeed5166d194b4d9b156cb488c658',
    ],
    [
      { daemons: 20, isLimited: false, seed: 4 },
      'd0eb588cf36e6ee01fbdeb74981dd4369f3729ae6c34b0c16fd75b726668ad97',
    ],
    [
      { daemons: 20, isLimited: true, seed: 5 },
      '0d656bfb9117c1d747b63698e9ae6c8b37a0169184cd17d079f39b3cb9effd93',
    ],
  ])('get the recorded effects: %j', (recorded, hash) => {
    expect(getEffectsHash(recorded)).toBe(hash);
  });
});
