import { KeyTable } from './KeyTable.js';
import { PriorityRanks } from './PriorityRanks.js';
import type { RelayConfiguration } from './RelayConfiguration.js';
import { RouteTable } from './RouteTable.js';
import { RouteUrgencies } from './RouteUrgencies.js';

/** A version of the configuration with its lookup tables, which are replaced together. */
export interface ActiveConfiguration {
  configuration: RelayConfiguration;
  routes: RouteTable;
  ranks: PriorityRanks;
  urgencies: RouteUrgencies;
  /** Undefined if callers need no keys. */
  keys: KeyTable | undefined;
}

/**
 * Builds the lookup tables of a configuration.
 *
 * @param rankLevels - the number of different ranks that replicas distinguish
 */
export function createActiveConfiguration(
  configuration: RelayConfiguration,
  rankLevels: number,
): ActiveConfiguration {
  const { routes, workspaces } = configuration;
  return {
    configuration,
    routes: new RouteTable(routes),
    ranks: new PriorityRanks(configuration, rankLevels),
    urgencies: new RouteUrgencies(routes),
    keys: workspaces === undefined ? undefined : new KeyTable(workspaces),
  };
}
