import type { Random } from '@apricotrill/utils';
import type { RelayRoute } from './RelayConfiguration.js';

/** Draws one of a route's services by their weights. */
export function pickService({ targets }: RelayRoute, random: Random): string {
  const total = targets.reduce((sum, { weight }) => sum + weight, 0);
  let left = random.next() * total;
  const drawn = targets.find(({ weight }) => {
    left -= weight;
    return left < 0;
  });
  return (drawn ?? targets.at(-1)!).service;
}
