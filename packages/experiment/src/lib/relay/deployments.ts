import { createRandom } from '@apricotrill/utils';
import type { Random } from '@apricotrill/utils';
import type { EngineTraits, RelayDeployment, RequestKind } from './RelayDeployment.js';

const SECOND = 1_000;

const PLAIN: Omit<RequestKind, 'name' | 'rate' | 'repeatable'> = {
  service: 'application',
  rank: 0,
  latencyTarget: 150,
  timeout: 800,
  maxAttempts: 2,
  worth: 1,
  lateWorth: 0.1,
  parts: [],
  ownTokens: 0,
  outputTokens: 0,
  work: 30,
};

const ENGINE: EngineTraits = {
  slots: 48,
  memoryTokens: 450_000,
  step: 3.5,
  stepPerThousand: 0.03,
  readRate: 90,
  pairTime: 0.4,
  chunkTokens: 2_048,
  setup: 80,
  eventTokens: 5,
  copyTime: 0.0015,
  copySetup: 2.5,
};

function createPlainKinds(rate: number): RequestKind[] {
  return [
    { ...PLAIN, name: 'lodge', rate, repeatable: false },
    { ...PLAIN, name: 'lookup', rate: rate * 0.6, repeatable: true },
  ];
}

/** Summaries of long papers beside questions that are answered while a student types. */
function createPapers(): RelayDeployment {
  return {
    name: 'papers',
    daemons: 7,
    availabilityZones: 3,
    engines: ENGINE,
    engineFactors: [1, 1, 1.3, 1, 1, 1.3],
    applications: { replicas: 3, slots: 6 },
    kinds: [
      {
        name: 'summary',
        rate: 9,
        service: 'engines',
        rank: 2,
        latencyTarget: 1_500,
        pauseTarget: 800,
        timeout: 8_000,
        maxAttempts: 1,
        repeatable: false,
        worth: 2,
        lateWorth: 0.2,
        parts: [{ tokens: 13_000, variants: 90 }],
        ownTokens: 3_500,
        outputTokens: 120,
        work: 0,
      },
      {
        name: 'check',
        rate: 5,
        service: 'engines',
        rank: 1,
        latencyTarget: 600,
        pauseTarget: 300,
        timeout: 5_000,
        maxAttempts: 2,
        repeatable: true,
        worth: 3,
        lateWorth: 0.3,
        parts: [
          { tokens: 2_500, variants: 4 },
          { tokens: 4_000, variants: 30 },
        ],
        ownTokens: 3_000,
        outputTokens: 50,
        work: 0,
      },
      {
        name: 'help',
        rate: 15,
        service: 'engines',
        rank: 0,
        latencyTarget: 400,
        pauseTarget: 200,
        timeout: 10_000,
        maxAttempts: 1,
        repeatable: false,
        worth: 1,
        lateWorth: 0.05,
        parts: [
          { tokens: 200, variants: 20 },
          { tokens: 150, variants: 150 },
        ],
        ownTokens: 1_000,
        outputTokens: 170,
        work: 0,
      },
      ...createPlainKinds(7),
    ],
    bursts: [
      { at: 500, span: 9 * SECOND, factor: 2.2, kind: 'summary' },
      { at: 11 * SECOND, span: 5 * SECOND, factor: 1.9, kind: 'help' },
      { at: 17.5 * SECOND, span: 4.5 * SECOND, factor: 2.2, kind: 'summary' },
    ],
    crashes: [],
    length: 30 * SECOND,
    crossing: 0.9,
  };
}

/** The same at its highest load, with engines that crash in the middle of a burst. */
function createPressedPapers(): RelayDeployment {
  const papers = createPapers();
  return {
    ...papers,
    name: 'papers-pressed',
    kinds: papers.kinds.map((kind) => ({ ...kind, rate: kind.rate * 1.15 })),
    bursts: [
      ...papers.bursts,
      { at: 7.9 * SECOND, span: 3.2 * SECOND, factor: 1.5, kind: 'summary' },
    ],
    crashes: [{ at: 9.6 * SECOND, span: 4 * SECOND, engines: 2 }],
  };
}

/** Drafts from a shared catalogue beside short questions, on engines that read half as fast. */
function createDrafts(): RelayDeployment {
  return {
    ...createPapers(),
    name: 'drafts',
    daemons: 8,
    availabilityZones: 4,
    engines: {
      ...ENGINE,
      slots: 96,
      memoryTokens: 300_000,
      step: 4.5,
      readRate: 40,
      eventTokens: 4,
      copyTime: 0.002,
    },
    engineFactors: [1, 1, 1.3, 1, 1, 1.3, 1, 1],
    kinds: [
      {
        name: 'draft',
        rate: 17,
        service: 'engines',
        rank: 1,
        latencyTarget: 600,
        pauseTarget: 400,
        timeout: 6_000,
        maxAttempts: 1,
        repeatable: false,
        worth: 4,
        lateWorth: 1,
        parts: [
          { tokens: 2_500, variants: 4 },
          { tokens: 4_000, variants: 40 },
        ],
        ownTokens: 3_000,
        outputTokens: 50,
        work: 0,
      },
      {
        name: 'question',
        rate: 27,
        service: 'engines',
        rank: 0,
        latencyTarget: 300,
        pauseTarget: 250,
        timeout: 15_000,
        maxAttempts: 1,
        repeatable: false,
        worth: 1.5,
        lateWorth: 0.15,
        parts: [
          { tokens: 100, variants: 20 },
          { tokens: 100, variants: 100 },
        ],
        ownTokens: 600,
        outputTokens: 280,
        work: 0,
      },
      ...createPlainKinds(11),
    ],
    bursts: [
      { at: 500, span: 9 * SECOND, factor: 1.6, kind: 'draft' },
      { at: 11 * SECOND, span: 5 * SECOND, factor: 1.9, kind: 'question' },
      { at: 17.5 * SECOND, span: 4.5 * SECOND, factor: 1.6, kind: 'draft' },
    ],
  };
}

/**
 * Summaries of long histories beside short chats, before a large fleet: each daemon has five requests
 * a second, and none could hear of all. Prompts need half of all engines' time in the bursts.
 */
function createHistories(): RelayDeployment {
  const engines = 42;
  return {
    ...createPapers(),
    name: 'histories',
    daemons: 64,
    availabilityZones: 4,
    engines: {
      ...ENGINE,
      slots: 64,
      memoryTokens: 240_000,
      step: 5,
      stepPerThousand: 0.01,
      readRate: 50,
      setup: 30,
      eventTokens: 5,
      copyTime: 0.01,
      copySetup: 4,
    },
    engineFactors: Array.from({ length: engines }, (_item, index) => (index % 3 === 2 ? 1.3 : 1)),
    applications: { replicas: 4, slots: 6 },
    kinds: [
      {
        name: 'history',
        rate: 110,
        service: 'engines',
        rank: 1,
        latencyTarget: 600,
        pauseTarget: 400,
        timeout: 5_000,
        maxAttempts: 1,
        repeatable: false,
        worth: 3,
        lateWorth: 1.5,
        parts: [
          { tokens: 2_500, variants: 4 },
          { tokens: 4_000, variants: 1_000 },
        ],
        ownTokens: 3_000,
        outputTokens: 50,
        work: 0,
      },
      {
        name: 'chat',
        rate: 75,
        service: 'engines',
        rank: 0,
        latencyTarget: 300,
        pauseTarget: 250,
        timeout: 15_000,
        maxAttempts: 2,
        repeatable: true,
        worth: 1.7,
        lateWorth: 0.25,
        parts: [
          { tokens: 120, variants: 16 },
          { tokens: 80, variants: 1_600 },
        ],
        ownTokens: 630,
        outputTokens: 290,
        work: 0,
      },
      ...createPlainKinds(35),
    ],
    bursts: [
      { at: 500, span: 9 * SECOND, factor: 2.8, kind: 'history' },
      { at: 11 * SECOND, span: 5 * SECOND, factor: 2.6, kind: 'chat' },
      { at: 17.5 * SECOND, span: 3.5 * SECOND, factor: 3, kind: 'history' },
    ],
  };
}

/** A value between two bounds, spread alike over its orders of magnitude. */
function draw(random: Random, least: number, most: number): number {
  return least * (most / least) ** random.next();
}

/**
 * A deployment that nobody has tuned anything for: speeds, sizes, targets and the mix are drawn by
 * the seed, and the load is what its engines can carry.
 */
export function drawDeployment(seed: number): RelayDeployment {
  const random = createRandom(seed);
  const base = createPapers();
  const readRate = draw(random, 10, 300);
  const engines = Math.round(draw(random, 3, 24));
  const engineFactors = Array.from({ length: engines }, () => (random.next() < 0.3 ? 1.3 : 1));
  const traits = {
    ...ENGINE,
    readRate,
    step: draw(random, 2, 12),
    slots: Math.round(draw(random, 16, 128)),
    memoryTokens: Math.round(draw(random, 150_000, 900_000)),
    eventTokens: 1 + random.integer(6),
  };
  const streams = base.kinds.filter(({ service }) => service === 'engines');
  const scale = draw(random, 0.3, 1.2);
  const kinds = streams.map((kind): RequestKind => {
    const long = kind.parts.reduce((sum, { tokens }) => sum + tokens, kind.ownTokens) * scale;
    const step = traits.step + traits.chunkTokens / readRate;
    return {
      ...kind,
      parts: kind.parts.map((part) => ({ ...part, tokens: Math.round(part.tokens * scale) })),
      ownTokens: Math.round(kind.ownTokens * scale),
      latencyTarget: Math.round(draw(random, 1.5, 5) * (long / readRate) + 150),
      pauseTarget: Math.round(draw(random, 0.8, 3) * step * traits.eventTokens),
      timeout: 20 * SECOND,
    };
  });
  const tokens = kinds.reduce(
    (sum, { rate, ownTokens, parts }) =>
      sum + rate * (ownTokens + 0.3 * parts.reduce((all, part) => all + part.tokens, 0)),
    0,
  );
  const making = kinds.reduce((sum, { rate, outputTokens }) => sum + rate * outputTokens, 0);
  const use = tokens / SECOND / readRate + (making / SECOND) * (traits.step / 12);
  const load = (draw(random, 0.2, 0.45) * engines) / use;
  return {
    ...base,
    name: `drawn-${seed}`,
    daemons: Math.round(draw(random, 2, 16)),
    availabilityZones: 1 + random.integer(4),
    engines: traits,
    engineFactors,
    kinds: [
      ...kinds.map((kind) => ({ ...kind, rate: kind.rate * load })),
      ...base.kinds.filter(({ service }) => service !== 'engines'),
    ],
  };
}

/** The deployments that have names. */
export const namedDeployments: Readonly<Record<string, () => RelayDeployment>> = {
  papers: createPapers,
  'papers-pressed': createPressedPapers,
  drafts: createDrafts,
  histories: createHistories,
};
