import { ServiceKind } from '@apricotrill/model';
import type { Configuration } from '@apricotrill/model';
import { DEFAULT_ENGINE_OPTIONS } from '../replicas/EngineModel/EngineOptions.js';
import type { Deployment } from './Deployment.js';
import { readExample } from './readExample.js';

/**
 * Slots of a plain replica here. The examples have more; with these, 90 s of traffic at the same
 * load stay within some ten thousand calls.
 */
const PLAIN_SLOTS = 4;

function scalePlainReplicas(configuration: Configuration): Configuration {
  const { register } = configuration;
  const plain = register.services.filter(({ kind }) => kind === ServiceKind.Plain);
  const names = plain.map(({ name }) => name);
  const replicas = register.replicas.map((replica) =>
    names.includes(replica.service) ? { ...replica, slots: PLAIN_SLOTS } : replica,
  );
  return { ...configuration, register: { ...register, replicas } };
}

/** Everything of a deployment that its example configuration does not say. */
export type DeploymentTraffic = Omit<Deployment, 'configuration' | 'engine'>;

/**
 * Puts a deployment together from its example configuration and our assumptions on its traffic.
 *
 * @internal
 */
export function createDeployment(traffic: DeploymentTraffic): Deployment {
  return {
    ...traffic,
    configuration: scalePlainReplicas(readExample(traffic.name)),
    engine: DEFAULT_ENGINE_OPTIONS,
  };
}
