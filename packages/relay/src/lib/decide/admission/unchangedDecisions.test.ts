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
  /** Whether attempts at silent replicas are replaced. */
  hasTimeouts: boolean;
}

/** Longer than any request of these plays. */
const NO_TIMEOUTS = { plainSilence: 1_000, streamSilence: 1_000 };

/** Removes what only the log needs, and what was added to it after the hashes were recorded. */
function getDecision(effect: PlacementEffect): object {
  if (effect.kind !== 'placer-silent') {
    return effect;
  }
  const { kind, peer, span } = effect;
  return { kind, peer, span };
}

/** Plays a seeded sequence of requests, reports and failures, and returns a hash of all effects. */
function getEffectsHash({ daemons, isLimited, seed, hasTimeouts }: Recorded): string {
  const random = createRandom(seed);
  const names = Array.from({ length: daemons }, (_item, index) => `d-${index}`);
  const engines = createEngines(6);
  const fleet = new CoreFleet({
    daemons: names,
    services: [createEngineService('llm'), createService('app')],
    replicas: [...engines, createReplica('p-0'), createReplica('p-1')],
    options: hasTimeouts ? {} : NO_TIMEOUTS,
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
  const decisions = fleet.effects.filter(
    ({ effect }) => effect.kind !== 'response-unused' && effect.kind !== 'keep',
  );
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
  // Guards against decisions that change where nothing calls for admission. The hashes without timeouts
  // were recorded before attempts were replaced.
  it.each([
    [
      { daemons: 1, isLimited: false, seed: 1, hasTimeouts: false },
      '8fcdda11cb35fc2ddff444018b26197950795037f4727f888960618005d9cc1f',
    ],
    [
      { daemons: 3, isLimited: false, seed: 2, hasTimeouts: false },
      '0d2ccdc23e3543d1a32ba76c26b49caf77afa89409f93e49b4f7d109d64d47e4',
    ],
    [
      { daemons: 3, isLimited: true, seed: 3, hasTimeouts: false },
      '1388bf081b092d2da23afd24651c0e610dc7fcb0ad29b56c06206c934037abfc',
    ],
    [
      { daemons: 20, isLimited: false, seed: 4, hasTimeouts: false },
      '1050d0f762c02bbc39aa70de6ee7cd52a4c8e3cb00aafd3a60c51773807c3fe5',
    ],
    [
      { daemons: 20, isLimited: true, seed: 5, hasTimeouts: false },
      '4b7e6e1fae60f99d71f00fe6eaf63f6bdf11f1c816bda2fa5be976767dbbac7b',
    ],
    [
      { daemons: 1, isLimited: false, seed: 1, hasTimeouts: true },
      '037f261c5610fe29db60d28de586a98fc5c0a98e786326e1694157897114f29d',
    ],
    [
      { daemons: 3, isLimited: false, seed: 2, hasTimeouts: true },
      '82e28c7cb3fe77c37f359e2850a08dba305f678a7d1e0d9ebdebf9f3c00a613d',
    ],
    [
      { daemons: 3, isLimited: true, seed: 3, hasTimeouts: true },
      '554267147e310ab41b187692822c4b018cf3337da8983e847d865dd289b5a07d',
    ],
    [
      { daemons: 20, isLimited: false, seed: 4, hasTimeouts: true },
      'c3418e0c36c1d97ada15bec11353e2c7bbc42f92bde25d917f686a87acba1c14',
    ],
    [
      { daemons: 20, isLimited: true, seed: 5, hasTimeouts: true },
      'a15c6a59140b6346a007e2976feee89904d819adc1356db247389900621aa154',
    ],
  ])('get the recorded effects: %j', (recorded, hash) => {
    expect(getEffectsHash(recorded)).toBe(hash);
  });
});
