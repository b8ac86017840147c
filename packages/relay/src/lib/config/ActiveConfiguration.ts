import { KeyTable } from './KeyTable.js';
import type { RelayConfiguration, RelayService } from './RelayConfiguration.js';
import { RouteTable } from './RouteTable.js';

/** One version of the configuration with its look-up tables, taken over as a whole. */
export interface ActiveConfiguration {
  configuration: RelayConfiguration;
  routes: RouteTable;
  /** Absent where callers need no keys. */
  keys: KeyTable | undefined;
  services: ReadonlyMap<string, RelayService>;
}

/** Builds the look-up tables of a version. */
export function createActiveConfiguration(configuration: RelayConfiguration): ActiveConfiguration {
  const { routes, workspaces, services } = configuration;
  return {
    configuration,
    routes: new RouteTable(routes),
    keys: workspaces === undefined ? undefined : new KeyTable(workspaces),
    services: new Map(services.map((service) => [service.name, service])),
  };
}
