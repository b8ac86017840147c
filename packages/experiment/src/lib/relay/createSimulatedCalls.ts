import { createRandom, getHash } from '@apricotrill/utils';
import type { Random } from '@apricotrill/utils';
import type { Prompt, PromptPart } from '@apricotrill/relay';
import { createCallRanks } from './createCallRanks.js';
import type { RelayDeployment, RequestKind, WorkspaceGroup } from './RelayDeployment.js';
import type { SimulatedCall } from './SimulatedCall.js';

/** Standard deviation of the logarithm of lengths; prompts and responses are log-normal in length. */
const LOG_LENGTH_DEVIATION = 0.7;

/** Zipf exponent: the n-th variant is requested in proportion to n to the power of minus this. */
const POPULARITY_SKEW = 0.3;

/** Maximum length, as a multiple of the mean. */
const MAX_LENGTH_FACTOR = 4;

const MODEL = 'm';

/** Weight of an output token relative to an input token. */
const OUTPUT_WEIGHT = 10;

/** Samples a log-normal length with the given mean. */
function sampleLength(mean: number, random: Random): number {
  const normal =
    Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());
  const length = mean * Math.exp(LOG_LENGTH_DEVIATION * normal - LOG_LENGTH_DEVIATION ** 2 / 2);
  return Math.max(1, Math.round(Math.min(length, mean * MAX_LENGTH_FACTOR)));
}

function pickVariant(variants: number, random: Random): number {
  return Math.floor(variants * random.next() ** (1 / (1 - POPULARITY_SKEW)));
}

/** Returns the length of a variant of a shared part; it is the same for every request and seed. */
function getSharedTokens(mean: number, kind: string, index: number, variant: number): number {
  const random = createRandom(getHash(`${kind}/${index}/${variant}`));
  // Similar seeds give similar first numbers, so the first one is discarded.
  random.next();
  return sampleLength(mean, random);
}

function createPrompt(
  kind: RequestKind,
  id: string,
  maxOutputTokens: number,
  random: Random,
): Prompt {
  const shared = kind.parts.map(({ tokens, variants }, index): PromptPart => {
    const variant = pickVariant(variants, random);
    return {
      id: `${kind.name}-${index}-${variant}`,
      tokens: getSharedTokens(tokens, kind.name, index, variant),
    };
  });
  const parts = [...shared, { id, tokens: sampleLength(kind.uniqueTokens, random) }];
  const inputTokens = parts.reduce((sum, { tokens }) => sum + tokens, 0);
  return { model: MODEL, inputTokens, outputTokens: maxOutputTokens, parts };
}

function getMeanSize({ parts, uniqueTokens, outputTokens }: RequestKind): number {
  const inputTokens = parts.reduce((sum, { tokens }) => sum + tokens, uniqueTokens);
  return inputTokens + OUTPUT_WEIGHT * outputTokens;
}

function getRateFactor({ bursts }: RelayDeployment, kind: string, time: number): number {
  return bursts
    .filter((burst) => time >= burst.startsAt && time < burst.startsAt + burst.duration)
    .filter((burst) => burst.kind === undefined || burst.kind === kind)
    .reduce((factor, burst) => factor * burst.rateFactor, 1);
}

/** Assigns a call to a group of workspaces; the same id is always assigned to the same group. */
function pickWorkspaces(workspaces: readonly WorkspaceGroup[], id: string): WorkspaceGroup {
  const random = createRandom(getHash(id));
  random.next();
  let remaining = random.next();
  return (
    workspaces.find(({ share }) => {
      remaining -= share;
      return remaining < 0;
    }) ?? workspaces.at(-1)!
  );
}

function createCall(
  kind: RequestKind,
  id: string,
  arrivedAt: number,
  daemon: number,
  random: Random,
): Omit<SimulatedCall, 'rank' | 'workspace'> {
  const outputTokens = sampleLength(kind.outputTokens, random);
  const prompt =
    kind.service === 'engines' ? createPrompt(kind, id, outputTokens * 2, random) : undefined;
  const size =
    prompt === undefined
      ? 1
      : (prompt.inputTokens + OUTPUT_WEIGHT * outputTokens) / getMeanSize(kind);
  return {
    id,
    kind,
    daemon,
    arrivedAt,
    prompt,
    outputTokens,
    serviceTime: kind.serviceTime === 0 ? 0 : sampleLength(kind.serviceTime, random),
    size,
    longestPause: 0,
    writers: [],
    isComplete: false,
    attempts: 0,
  };
}

/**
 * Creates the calls of a day, in the order of their arrival. The same seed gives the same calls
 * whichever policy serves them.
 */
export function createSimulatedCalls(deployment: RelayDeployment, seed: number): SimulatedCall[] {
  const random = createRandom(seed);
  const getRank = createCallRanks(deployment);
  const calls = deployment.kinds.flatMap((kind) => {
    const callsOfKind: SimulatedCall[] = [];
    const maxRate =
      Math.max(1, ...deployment.bursts.map(({ rateFactor }) => rateFactor)) ** 2 * kind.rate;
    let time = 0;
    for (;;) {
      time += (-Math.log(1 - random.next()) / maxRate) * 1_000;
      if (time >= deployment.duration) {
        return callsOfKind;
      }
      // Thinning: arrivals are drawn at the maximum rate and accepted in proportion to the current one.
      const isAccepted =
        random.next() < (getRateFactor(deployment, kind.name, time) * kind.rate) / maxRate;
      if (isAccepted) {
        const id = `${kind.name}/${callsOfKind.length}`;
        const call = createCall(kind, id, time, random.integer(deployment.daemons), random);
        const { name = 'w', priority } = pickWorkspaces(deployment.workspaces, id);
        callsOfKind.push({ ...call, workspace: name, rank: getRank(kind, priority) });
      }
    }
  });
  return calls.sort((left, right) => left.arrivedAt - right.arrivedAt);
}
