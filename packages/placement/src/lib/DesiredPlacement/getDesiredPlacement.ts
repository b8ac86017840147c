import { ServiceKind } from '@apricotrill/model';
import type { Configuration, Replica, Service, EngineRole } from '@apricotrill/model';
import { getBaseName, getLoadableModel } from '../modelName.js';
import { spreadModels } from './spreadModels.js';
import type { PlacementOptions } from '../placementOptions.js';

/**
 * The desired state of one engine.
 *
 * @public
 */
export interface DesiredEngine {
  replica: Replica;
  /** The exact set of models to keep loaded; never empty. */
  modelNames: string[];
  /** Undefined leaves the role unchanged. */
  role: EngineRole | undefined;
}

/**
 * The desired state of a service's engines. It depends only on the configuration and not on engine
 * reports, so that a late report cannot make it oscillate.
 *
 * @public
 */
export interface DesiredPlacement {
  /**
   * By replica id. Replicas without desired models are absent and left unchanged, so that an edit
   * that removes a list by mistake does not unload the models of a whole fleet.
   */
  engines: ReadonlyMap<string, DesiredEngine>;
  /** Models the service lists without a version, which are neither loaded nor unloaded. */
  unversioned: readonly string[];
}

type SpreadOptions = Pick<PlacementOptions, 'copies' | 'modelsPerReplica'>;

const EMPTY_PLACEMENT: DesiredPlacement = { engines: new Map(), unversioned: [] };

function createServicePlacement(service: Service, replicas: Replica[], options: SpreadOptions) {
  const manualReplicas = replicas.filter((replica) => replica.placement.length > 0);
  const automaticReplicas = replicas.filter((replica) => replica.placement.length === 0);
  const models = service.models.filter((name) => getLoadableModel(name) !== undefined);
  const spreadNames = spreadModels({ models, manualReplicas, automaticReplicas }, options);
  const engines = new Map<string, DesiredEngine>();
  replicas.forEach((replica) => {
    const listedNames =
      replica.placement.length > 0 ? replica.placement : (spreadNames.get(replica.id) ?? []);
    const modelNames = [...new Set(listedNames)].sort();
    if (modelNames.length > 0) {
      engines.set(replica.id, { replica, modelNames, role: replica.role });
    }
  });
  const unversioned = service.models.filter((name) => getLoadableModel(name) === undefined);
  return { engines, unversioned: unversioned.map(getBaseName) };
}

/**
 * Determines the desired state of a service's engines. A replica's own `placement` list takes
 * precedence; the service's models are spread over the replicas without one.
 *
 * @param configuration - the configuration in force
 * @param serviceName - services that are unknown or of another kind get an empty placement
 * @param options - the number of copies, and of models per replica
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
    return EMPTY_PLACEMENT;
  }
  const serviceReplicas = replicas.filter((replica) => replica.service === serviceName);
  return createServicePlacement(service, serviceReplicas, options);
}

/**
 * Whether placement may unload a model from engines where it is not desired.
 *
 * @internal
 */
export function isUnloadable(desired: DesiredPlacement, name: string): boolean {
  return getLoadableModel(name) !== undefined && !desired.unversioned.includes(getBaseName(name));
}
