import { ServiceKind } from '@apricotrill/model';
import { assert } from '@apricotrill/utils';
import type { Deployment, TrafficProfile } from '../deployments/Deployment.js';
import { getHeavyTailMean } from './sampleHeavyTail.js';

/** Fraction of the shared prefix tokens that is assumed to be cached. */
const ASSUMED_PREFIX_HIT_RATE = 0.8;

const MILLISECONDS_PER_SECOND = 1000;

/**
 * The mean cost of one call of a class, in milliseconds of one slot of a fully loaded replica.
 *
 * @internal
 */
export function getSlotTime(deployment: Deployment, { shape }: TrafficProfile): number {
  if (shape.kind === 'plain') {
    return getHeavyTailMean(shape.serviceTime);
  }
  const { slots, stepBase, stepPerRequest, prefillPerToken } = deployment.engine;
  const step = stepBase + stepPerRequest * slots;
  const computedPrefix = shape.prefixTokens * (1 - ASSUMED_PREFIX_HIT_RATE);
  const prefill = (getHeavyTailMean(shape.prompt) + computedPrefix) * prefillPerToken;
  // Prefill stalls all other slots of the engine, so it takes the time of every slot.
  return getHeavyTailMean(shape.answer) * step + prefill * slots;
}

/**
 * The rate of calls of one class, per second, that uses its whole share of a service's capacity.
 *
 * @internal
 */
export function getCallRate(deployment: Deployment, profile: TrafficProfile): number {
  const { replicas, services } = deployment.configuration.register;
  const service = services.find(({ name }) => name === profile.service);
  assert(service !== undefined, `service ${profile.service} is in the register`);
  const replicasOfService = replicas.filter((replica) => replica.service === profile.service);
  const slots =
    service.kind === ServiceKind.Model
      ? replicasOfService.length * deployment.engine.slots
      : replicasOfService.reduce((sum, replica) => sum + replica.slots, 0);
  return (profile.share * slots * MILLISECONDS_PER_SECOND) / getSlotTime(deployment, profile);
}
