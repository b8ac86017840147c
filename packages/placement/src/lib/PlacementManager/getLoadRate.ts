import { ServiceKind } from '@apricotrill/model';
import type { Configuration, Service } from '@apricotrill/model';

/** The part of the rate that is dealt out evenly, so that a small service isn't left with nothing. */
const EVEN_PART = 0.5;

/**
 * A service's share of its region's weight store. The holders of different services don't talk;
 * as all work with the same configuration, their shares add up to the whole rate. Half of it is
 * dealt out evenly, half by the number of replicas.
 *
 * @param configuration - as it is in force
 * @param service - a model service's name
 * @param loadsPerSecond - what the region's weight store bears
 * @returns loads a second
 * @example
 * ```ts
 * bucket.setRate(getLoadRate(configuration, 'chat', 2), clock.now());
 * ```
 * @internal
 */
export function getLoadRate(
  configuration: Configuration,
  service: string,
  loadsPerSecond: number,
): number {
  const { services, replicas } = configuration.register;
  const region = services.find(({ name }) => name === service)?.region;
  const isPeer = (other: Service) => other.kind === ServiceKind.Model && other.region === region;
  const peers = new Set(services.filter(isPeer).map(({ name }) => name));
  const ofPeers = replicas.filter((replica) => peers.has(replica.service)).length;
  const own = replicas.filter((replica) => replica.service === service).length;
  const even = 1 / Math.max(1, peers.size);
  const bySize = ofPeers === 0 ? even : own / ofPeers;
  return loadsPerSecond * (EVEN_PART * even + (1 - EVEN_PART) * bySize);
}
