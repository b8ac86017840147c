import { ServiceKind } from '@apricotrill/model';
import type { Configuration } from '@apricotrill/model';

/** The part of the rate that is divided equally, so that a small service always gets some. */
const EVEN_RATIO = 0.5;

/** Totals over the model services of one region. */
interface RegionTotals {
  services: number;
  replicas: number;
}

/**
 * Determines each model service's share of its region's load rate. The lease holders of different
 * services do not communicate; as they use the same configuration, their shares add up to the whole
 * rate. Half of it is divided equally, half in proportion to the number of replicas.
 *
 * @param configuration - the configuration in force
 * @param loadsPerSecond - the maximum rate of each region's weight store
 * @returns loads per second by service name
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
  const regions = new Map<string, RegionTotals>();
  services.forEach(({ name, region }) => {
    const totals = regions.get(region) ?? { services: 0, replicas: 0 };
    totals.services += 1;
    totals.replicas += sizes.get(name)!;
    regions.set(region, totals);
  });
  const rates = services.map(({ name, region }): [string, number] => {
    const totals = regions.get(region)!;
    const equalShare = 1 / totals.services;
    const sizeShare = totals.replicas === 0 ? equalShare : sizes.get(name)! / totals.replicas;
    return [name, loadsPerSecond * (EVEN_RATIO * equalShare + (1 - EVEN_RATIO) * sizeShare)];
  });
  return new Map(rates);
}
