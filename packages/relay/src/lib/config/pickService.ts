import type { Random } from '@apricotrill/utils';
import type { RelayRoute } from './RelayConfiguration.js';

/** Selects one of a route's services at random, according to their weights. */
export function pickService({ targets }: RelayRoute, random: Random): string {
  const total = targets.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = random.next() * total;
  const selected = targets.find(({ weight }) => {
    remaining -= weight;
    return remaining < 0;
  });
  return (selected ?? targets.at(-1)!).service;
}
