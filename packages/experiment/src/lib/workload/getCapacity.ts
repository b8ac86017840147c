import { ServiceKind } from '@apricotrill/model';
import { assert } from '@apricotrill/utils';
import type { Deployment, TrafficProfile } from '../deployments/Deployment.js';
import { getHeavyTailMean } from './sampleHeavyTail.js';

/** How much of the shared prefixes we take to be cached when we work capacity out. */
const ASSUMED_PREFIX_HITS = 0.8;

const MILLISECONDS_PER_SECOND = 1000;

/**
 * What one call of a class costs, as milliseconds of one slot of a full replica.
 *
 * @internal
 */
export function getSlotTime(deployment: Deployment, { shape }: TrafficProfile): number {
  if (shape.kind === 'plain') {
    return getHeavyTailMean(shape.serviceTime);
  }
  const { slots, stepBase, stepPerRequest, prefillPerToken } = deployment.engine;
  const step = stepBase + stepPerRequest * slots;
  const computedPrefix = shape.prefixTokens * (1 - ASSUMED_PREFIX_HITS);
  const prefill = (getHeavyTailMean(shape.prompt) + computedPrefix) * prefillPerToken;
  // While a prompt is computed every other slot of the engine stands still.
  return getHeavyTailMean(shape.answer) * step + prefill * slots;
}

/**
 * Calls a second of one class that would use up its share of a service's capacity.
 *
 * @internal
 */
export function getCallRate(deployment: Deployment, profile: TrafficProfile): number {
  const { replicas, services } = deployment.configuration.register;
  const service = services.find(({ name }) => name === profile.service);
  assert(service !== undefined, `service ${profile.service} is in the register`);
  const own = replicas.filter((replica) => replica.service === profile.service);
  const slots =
    service.kind === ServiceKind.Model
      ? own.length * deployment.engine.slots
      : own.reduce((sum, replica) => sum + replica.slots, 0);
  return (profile.share * slots * MILLISECONDS_PER_SECOND) / getSlotTime(deployment, profile);
}
