import { ServiceKind } from '@apricotrill/model';
import type { Configuration } from '@apricotrill/model';

/** The part of the rate that is dealt out evenly, so that a small service isn't left with nothing. */
const EVEN_PART = 0.5;

/** The model services of one region. */
interface RegionCount {
  services: number;
  replicas: number;
}

/**
 * Each model service's share of its region's weight store. The holders of different services don't
 * talk; as all work with the same configuration, their shares add up to the whole rate. Half of it
 * is dealt out evenly, half by the number of replicas.
 *
 * @param configuration - as it is in force
 * @param loadsPerSecond - what each region's weight store bears
 * @returns loads a second by service name
 * @example
 * ```ts
 * bucket.setRate(getLoadRates(configuration, 2).get('chat') ?? 0, clock.now());
 * ```
 * @internal
 */
export function getLoadRates(
  configuration: Configuration,
  loadsPerSecond: number,
): Map<string, number> {
  const services = configuration.register.services.filter(({ kind }) => kind === ServiceKind.Model);
  const sizes = new Map(services.map(({ name }) => [name, 0]));
  configuration.register.replicas.forEach(({ service }) => {
    const size = sizes.get(service);
    if (size !== undefined) {
      sizes.set(service, size + 1);
    }
  });
  const regions = new Map<string, RegionCount>();
  services.forEach(({ name, region }) => {
    const count = regions.get(region) ?? { services: 0, replicas: 0 };
    count.services += 1;
    count.replicas += sizes.get(name)!;
    regions.set(region, count);
  });
  const rates = services.map(({ name, region }): [string, number] => {
    const count = regions.get(region)!;
    const even = 1 / count.services;
    const bySize = count.replicas === 0 ? even : sizes.get(name)! / count.replicas;
    return [name, loadsPerSecond * (EVEN_PART * even + (1 - EVEN_PART) * bySize)];
  });
  return new Map(rates);
}
