import { ServiceKind } from '@apricotrill/model';
import type { Configuration, Replica, Service, EngineRole } from '@apricotrill/model';
import { getBaseName, getLoadableModel } from '../modelName.js';
import { getSpread } from './spreadModels.js';
import type { PlacementOptions } from '../placementOptions.js';

/**
 * How one engine should be.
 *
 * @public
 */
export interface DesiredEngine {
  replica: Replica;
  /** What it should have loaded, and nothing else; never empty. */
  names: string[];
  /** Absent: its role is left as it is. */
  role: EngineRole | undefined;
}

/**
 * How the engines of a service should be. It follows from the configuration alone and not from
 * what engines report, so that a late report can't make it flap.
 *
 * @public
 */
export interface DesiredPlacement {
  /**
   * By replica id. A replica for which nothing is wanted is absent and left alone: an edit that
   * drops a list by mistake must not empty a fleet.
   */
  engines: ReadonlyMap<string, DesiredEngine>;
  /** Models the service lists without a version: never loaded, as nothing says which, nor unloaded. */
  unversioned: readonly string[];
}

type SpreadOptions = Pick<PlacementOptions, 'copies' | 'modelsPerReplica'>;

const EMPTY: DesiredPlacement = { engines: new Map(), unversioned: [] };

function getOfService(service: Service, replicas: Replica[], options: SpreadOptions) {
  const placedByHand = replicas.filter((replica) => replica.placement.length > 0);
  const free = replicas.filter((replica) => replica.placement.length === 0);
  const models = service.models.filter((name) => getLoadableModel(name) !== undefined);
  const spread = getSpread({ models, placedByHand, free }, options);
  const engines = new Map<string, DesiredEngine>();
  replicas.forEach((replica) => {
    const listed =
      replica.placement.length > 0 ? replica.placement : (spread.get(replica.id) ?? []);
    const names = [...new Set(listed)].sort();
    if (names.length > 0) {
      engines.set(replica.id, { replica, names, role: replica.role });
    }
  });
  const unversioned = service.models.filter((name) => getLoadableModel(name) === undefined);
  return { engines, unversioned: unversioned.map(getBaseName) };
}

/**
 * What the accepted configuration wants of a service's engines. A replica's own `placement` goes
 * first; the service's models are spread over the replicas that have none.
 *
 * @param configuration - as it is in force
 * @param serviceName - plain and unknown services want nothing
 * @param options - how many copies to spread
 * @example
 * ```ts
 * const { engines } = getDesiredPlacement(configuration, 'chat', defaultPlacementOptions);
 * ```
 * @public
 */
export function getDesiredPlacement(
  configuration: Configuration,
  serviceName: string,
  options: SpreadOptions,
): DesiredPlacement {
  const { services, replicas } = configuration.register;
  const service = services.find(({ name }) => name === serviceName);
  if (service?.kind !== ServiceKind.Model) {
    return EMPTY;
  }
  const own = replicas.filter((replica) => replica.service === serviceName);
  return getOfService(service, own, options);
}

/**
 * Whether placement may unload a name at all where it isn't wanted.
 *
 * @internal
 */
export function isUnloadable(desired: DesiredPlacement, name: string): boolean {
  return getLoadableModel(name) !== undefined && !desired.unversioned.includes(getBaseName(name));
}
