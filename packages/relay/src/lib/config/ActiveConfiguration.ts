import { KeyTable } from './KeyTable.js';
import type { RelayConfiguration, RelayRoute } from './RelayConfiguration.js';
import { RouteTable } from './RouteTable.js';

/** One version of the configuration with its look-up tables, taken over as a whole. */
export interface ActiveConfiguration {
  configuration: RelayConfiguration;
  routes: RouteTable;
  /** Absent where callers need no keys. */
  keys: KeyTable | undefined;
}

/** Builds the look-up tables of a version. */
export function createActiveConfiguration(configuration: RelayConfiguration): ActiveConfiguration {
  const { routes, workspaces } = configuration;
  return {
    configuration,
    routes: new RouteTable(routes),
    keys: workspaces === undefined ? undefined : new KeyTable(workspaces),
  };
}

function hasTarget({ targets }: RelayRoute, services: ReadonlySet<string>): boolean {
  return targets.some(({ service }) => services.has(service));
}

/**
 * The place of a route's requests among those of equal priority at the same services: those that
 * must be answered soonest go first. A short question that waits behind a long prompt is late; the
 * prompt that lets it pass loses a fraction of the question's few milliseconds.
 *
 * @returns 0 for routes with the shortest latency target, else 1
 */
export function getUrgency({ configuration }: ActiveConfiguration, route: RelayRoute): number {
  const services = new Set(route.targets.map(({ service }) => service));
  const isBeaten = configuration.routes.some(
    (other) => other.latencyTarget < route.latencyTarget && hasTarget(other, services),
  );
  return isBeaten ? 1 : 0;
}
