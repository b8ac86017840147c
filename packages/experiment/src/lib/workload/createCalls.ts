import { createRandom, getHash } from '@apricotrill/utils';
import type { Milliseconds, Random } from '@apricotrill/utils';
import type { CallShape, Deployment, TrafficProfile } from '../deployments/Deployment.js';
import type { Work } from '../replicas/ReplicaModel.js';
import type { Call } from './Call.js';
import { getCallRate } from './getCapacity.js';
import { sampleHeavyTail } from './sampleHeavyTail.js';

/** Exponent of the distribution of calls over workspaces: a few workspaces send most calls. */
const ZIPF_EXPONENT = 1.1;

/** Probability that a caller hangs up in the middle of an answer, whatever the router does. */
const HANG_UP_PROBABILITY = 0.003;

const MILLISECONDS_PER_SECOND = 1000;

/** Gets the load of a class at a point in time, as a fraction of the capacity. */
export type LoadCurve = (profile: TrafficProfile, at: Milliseconds) => number;

/** Cumulative weights by Zipf's law, which end at 1. */
function getCumulativeZipfWeights(count: number): number[] {
  const weights = Array.from({ length: count }, (_, index) => (index + 1) ** -ZIPF_EXPONENT);
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  let sum = 0;
  return weights.map((weight) => {
    sum += weight / total;
    return sum;
  });
}

function sampleIndex(random: Random, cumulativeWeights: number[]): number {
  const point = random.next();
  const index = cumulativeWeights.findIndex((sum) => point < sum);
  return index < 0 ? cumulativeWeights.length - 1 : index;
}

function createWork(random: Random, shape: CallShape, workspace: string): Work {
  if (shape.kind === 'plain') {
    return { kind: 'plain', serviceTime: sampleHeavyTail(random, shape.serviceTime) };
  }
  const prefix = random.integer(shape.prefixesPerWorkspace);
  return {
    kind: 'chat',
    promptTokens: shape.prefixTokens + Math.ceil(sampleHeavyTail(random, shape.prompt)),
    prefixHash: getHash(`${workspace}/${shape.prefixTokens}/${prefix}`),
    prefixTokens: shape.prefixTokens,
    answerTokens: Math.max(1, Math.ceil(sampleHeavyTail(random, shape.answer))),
    resumeAt: 0,
  };
}

function sampleHangUpPoint(random: Random, work: Work): number | undefined {
  const leaves = random.next() < HANG_UP_PROBABILITY;
  const point = random.next();
  if (!leaves || work.kind === 'plain') {
    return undefined;
  }
  return Math.max(1, Math.floor(point * work.answerTokens));
}

function createClassCalls(
  deployment: Deployment,
  profile: TrafficProfile,
  { seed, span, curve }: { seed: number; span: Milliseconds; curve: LoadCurve },
): Call[] {
  const random = createRandom(getHash(profile.className, seed));
  const { workspaces, services } = deployment.configuration.register;
  const model = services.find(({ name }) => name === profile.service)?.models[0];
  const rate = getCallRate(deployment, profile) / MILLISECONDS_PER_SECOND;
  const cumulativeWeights = getCumulativeZipfWeights(workspaces.length);
  const calls: Call[] = [];
  let at = 0;
  for (;;) {
    const load = curve(profile, at);
    at += -Math.log(1 - random.next()) / (rate * load);
    if (at >= span) {
      return calls;
    }
    const workspace = workspaces[sampleIndex(random, cumulativeWeights)]!.name;
    const work = createWork(random, profile.shape, workspace);
    calls.push({
      id: `${profile.className}-${calls.length}`,
      className: profile.className,
      service: profile.service,
      model,
      workspace,
      arrived: at,
      work,
      hangsUpAfter: sampleHangUpPoint(random, work),
      route: random.integer(deployment.daemons),
    });
  }
}

/**
 * Creates all calls of a run, which are the same for each policy. The load is open-loop: callers
 * don't slow down when the router does.
 *
 * @param deployment - the deployment with its traffic
 * @param run - the seed, the time during which callers start calls, and the load over time
 * @returns the calls in order of arrival
 * @example
 * ```ts
 * const calls = createCalls(liitto, { seed: 1, span: 60_000, curve: () => 0.6 });
 * ```
 * @public
 */
export function createCalls(
  deployment: Deployment,
  run: { seed: number; span: Milliseconds; curve: LoadCurve },
): Call[] {
  return deployment.traffic
    .flatMap((profile) => createClassCalls(deployment, profile, run))
    .sort((left, right) => left.arrived - right.arrived);
}
