import { createRandom } from '@apricotrill/utils';
import type { Random } from '@apricotrill/utils';
import type { EngineParameters, RelayDeployment, RequestKind } from './RelayDeployment.js';

const SECOND = 1_000;

const PLAIN_KIND: Omit<RequestKind, 'name' | 'rate' | 'repeatable'> = {
  service: 'application',
  priority: 0,
  latencyTarget: 150,
  timeout: 800,
  maxAttempts: 2,
  worth: 1,
  lateWorth: 0.1,
  parts: [],
  uniqueTokens: 0,
  outputTokens: 0,
  serviceTime: 30,
};

const ENGINE_PARAMETERS: EngineParameters = {
  slots: 48,
  memoryTokens: 450_000,
  baseStepTime: 3.5,
  stepTimePerThousandTokens: 0.03,
  prefillRate: 90,
  attentionTimePerMillionPairs: 0.4,
  prefillChunkTokens: 2_048,
  setupTime: 80,
  eventTokens: 5,
  copyTime: 0.0015,
  copySetupTime: 2.5,
};

function createPlainKinds(rate: number): RequestKind[] {
  return [
    { ...PLAIN_KIND, name: 'lodge', rate, repeatable: false },
    { ...PLAIN_KIND, name: 'lookup', rate: rate * 0.6, repeatable: true },
  ];
}

/** Summaries of long papers, and questions that are answered while a student types. */
function createPapers(): RelayDeployment {
  return {
    name: 'papers',
    daemons: 7,
    availabilityZones: 3,
    engines: ENGINE_PARAMETERS,
    engineSlowdowns: [1, 1, 1.3, 1, 1, 1.3],
    applications: { replicas: 3, slots: 6 },
    kinds: [
      {
        name: 'summary',
        rate: 9,
        service: 'engines',
        priority: 2,
        latencyTarget: 1_500,
        pauseTarget: 800,
        timeout: 8_000,
        maxAttempts: 1,
        repeatable: false,
        worth: 2,
        lateWorth: 0.2,
        parts: [{ tokens: 13_000, variants: 90 }],
        uniqueTokens: 3_500,
        outputTokens: 120,
        serviceTime: 0,
      },
      {
        name: 'check',
        rate: 5,
        service: 'engines',
        priority: 1,
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
        uniqueTokens: 3_000,
        outputTokens: 50,
        serviceTime: 0,
      },
      {
        name: 'help',
        rate: 15,
        service: 'engines',
        priority: 0,
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
        uniqueTokens: 1_000,
        outputTokens: 170,
        serviceTime: 0,
      },
      ...createPlainKinds(7),
    ],
    workspaces: [{ priority: undefined, share: 1 }],
    bursts: [
      { startsAt: 500, duration: 9 * SECOND, rateFactor: 2.2, kind: 'summary' },
      { startsAt: 11 * SECOND, duration: 5 * SECOND, rateFactor: 1.9, kind: 'help' },
      { startsAt: 17.5 * SECOND, duration: 4.5 * SECOND, rateFactor: 2.2, kind: 'summary' },
    ],
    crashes: [],
    duration: 30 * SECOND,
    crossZoneDelay: 0.9,
  };
}

/** The deployment of `createPapers` at its highest load, with engines that crash during a burst. */
function createPressedPapers(): RelayDeployment {
  const papers = createPapers();
  return {
    ...papers,
    name: 'papers-pressed',
    kinds: papers.kinds.map((kind) => ({ ...kind, rate: kind.rate * 1.15 })),
    bursts: [
      ...papers.bursts,
      { startsAt: 7.9 * SECOND, duration: 3.2 * SECOND, rateFactor: 1.5, kind: 'summary' },
    ],
    crashes: [{ startsAt: 9.6 * SECOND, duration: 4 * SECOND, engines: 2 }],
  };
}

/** Drafts from a shared catalogue, and short questions, on engines with half the prefill speed. */
function createDrafts(): RelayDeployment {
  return {
    ...createPapers(),
    name: 'drafts',
    daemons: 8,
    availabilityZones: 4,
    engines: {
      ...ENGINE_PARAMETERS,
      slots: 96,
      memoryTokens: 300_000,
      baseStepTime: 4.5,
      prefillRate: 40,
      eventTokens: 4,
      copyTime: 0.002,
    },
    engineSlowdowns: [1, 1, 1.3, 1, 1, 1.3, 1, 1],
    kinds: [
      {
        name: 'draft',
        rate: 17,
        service: 'engines',
        priority: 1,
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
        uniqueTokens: 3_000,
        outputTokens: 50,
        serviceTime: 0,
      },
      {
        name: 'question',
        rate: 27,
        service: 'engines',
        priority: 0,
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
        uniqueTokens: 600,
        outputTokens: 280,
        serviceTime: 0,
      },
      ...createPlainKinds(11),
    ],
    bursts: [
      { startsAt: 500, duration: 9 * SECOND, rateFactor: 1.6, kind: 'draft' },
      { startsAt: 11 * SECOND, duration: 5 * SECOND, rateFactor: 1.9, kind: 'question' },
      { startsAt: 17.5 * SECOND, duration: 4.5 * SECOND, rateFactor: 1.6, kind: 'draft' },
    ],
  };
}

/**
 * Summaries of long histories, and short chats, on a large fleet: each daemon handles five requests a
 * second, and none can follow the requests of all others. During the bursts, prefill takes half of the
 * time of all engines.
 */
function createHistories(): RelayDeployment {
  const engines = 42;
  return {
    ...createPapers(),
    name: 'histories',
    daemons: 64,
    availabilityZones: 4,
    engines: {
      ...ENGINE_PARAMETERS,
      slots: 64,
      memoryTokens: 240_000,
      baseStepTime: 5,
      stepTimePerThousandTokens: 0.01,
      prefillRate: 50,
      setupTime: 30,
      eventTokens: 5,
      copyTime: 0.01,
      copySetupTime: 4,
    },
    engineSlowdowns: Array.from({ length: engines }, (_item, index) => (index % 3 === 2 ? 1.3 : 1)),
    applications: { replicas: 4, slots: 6 },
    kinds: [
      {
        name: 'history',
        rate: 110,
        service: 'engines',
        priority: 1,
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
        uniqueTokens: 3_000,
        outputTokens: 50,
        serviceTime: 0,
      },
      {
        name: 'chat',
        rate: 75,
        service: 'engines',
        priority: 0,
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
        uniqueTokens: 630,
        outputTokens: 290,
        serviceTime: 0,
      },
      ...createPlainKinds(35),
    ],
    bursts: [
      { startsAt: 500, duration: 9 * SECOND, rateFactor: 2.8, kind: 'history' },
      { startsAt: 11 * SECOND, duration: 5 * SECOND, rateFactor: 2.6, kind: 'chat' },
      { startsAt: 17.5 * SECOND, duration: 3.5 * SECOND, rateFactor: 3, kind: 'history' },
    ],
  };
}

/**
 * Drafts and questions on machines that others use too, from callers of a large fleet: a quarter of the
 * engines are half as fast as the others, and each is slow for 600 ms at a time, 15 in 100 of the time.
 */
function createSharedMachines(): RelayDeployment {
  const drafts = createDrafts();
  const engines = 24;
  return {
    ...drafts,
    name: 'shared-machines',
    daemons: 20,
    engineSlowdowns: Array.from({ length: engines }, (_item, index) =>
      index % 4 === 0 ? 1 / 0.55 : 1 / 1.2,
    ),
    noise: { share: 0.15, factor: 2.5, period: 4_000 },
    applications: { replicas: 4, slots: 6 },
    kinds: drafts.kinds.map((kind) => ({ ...kind, rate: kind.rate * 3 })),
  };
}

/** Draws a log-uniformly distributed value between two bounds. */
function drawLogUniform(random: Random, min: number, max: number): number {
  return min * (max / min) ** random.next();
}

/**
 * Creates a deployment that no default was chosen for: speeds, sizes, targets and the mix of requests
 * are drawn from the seed, and the load is within what its engines can serve.
 */
export function drawDeployment(seed: number): RelayDeployment {
  const random = createRandom(seed);
  const base = createPapers();
  const prefillRate = drawLogUniform(random, 10, 300);
  const engines = Math.round(drawLogUniform(random, 3, 24));
  const engineSlowdowns = Array.from({ length: engines }, () => (random.next() < 0.3 ? 1.3 : 1));
  const parameters = {
    ...ENGINE_PARAMETERS,
    prefillRate,
    baseStepTime: drawLogUniform(random, 2, 12),
    slots: Math.round(drawLogUniform(random, 16, 128)),
    memoryTokens: Math.round(drawLogUniform(random, 150_000, 900_000)),
    eventTokens: 1 + random.integer(6),
  };
  const engineKinds = base.kinds.filter(({ service }) => service === 'engines');
  const lengthScale = drawLogUniform(random, 0.3, 1.2);
  const kinds = engineKinds.map((kind): RequestKind => {
    const promptTokens =
      kind.parts.reduce((sum, { tokens }) => sum + tokens, kind.uniqueTokens) * lengthScale;
    const stepTime = parameters.baseStepTime + parameters.prefillChunkTokens / prefillRate;
    return {
      ...kind,
      parts: kind.parts.map((part) => ({ ...part, tokens: Math.round(part.tokens * lengthScale) })),
      uniqueTokens: Math.round(kind.uniqueTokens * lengthScale),
      latencyTarget: Math.round(
        drawLogUniform(random, 1.5, 5) * (promptTokens / prefillRate) + 150,
      ),
      pauseTarget: Math.round(drawLogUniform(random, 0.8, 3) * stepTime * parameters.eventTokens),
      timeout: 20 * SECOND,
    };
  });
  const prefillTokens = kinds.reduce(
    (sum, { rate, uniqueTokens, parts }) =>
      sum + rate * (uniqueTokens + 0.3 * parts.reduce((all, part) => all + part.tokens, 0)),
    0,
  );
  const outputRate = kinds.reduce((sum, { rate, outputTokens }) => sum + rate * outputTokens, 0);
  const enginesNeeded =
    prefillTokens / SECOND / prefillRate + (outputRate / SECOND) * (parameters.baseStepTime / 12);
  const rateScale = (drawLogUniform(random, 0.2, 0.45) * engines) / enginesNeeded;
  return {
    ...base,
    name: `drawn-${seed}`,
    daemons: Math.round(drawLogUniform(random, 2, 16)),
    availabilityZones: 1 + random.integer(4),
    engines: parameters,
    engineSlowdowns,
    kinds: [
      ...kinds.map((kind) => ({ ...kind, rate: kind.rate * rateScale })),
      ...base.kinds.filter(({ service }) => service !== 'engines'),
    ],
  };
}

/** The fixed deployments, by name. */
export const namedDeployments: Readonly<Record<string, () => RelayDeployment>> = {
  papers: createPapers,
  'papers-pressed': createPressedPapers,
  drafts: createDrafts,
  histories: createHistories,
  'shared-machines': createSharedMachines,
};
