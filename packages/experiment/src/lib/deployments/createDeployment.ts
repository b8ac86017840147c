import { ServiceKind } from '@apricotrill/model';
import type { Configuration } from '@apricotrill/model';
import { defaultEngineBatchOptions } from '@apricotrill/standins';
import type { Deployment } from './Deployment.js';
import { readExample } from './readExample.js';

/**
 * Slots of a plain replica here. The examples have more; with these, 90 s of traffic at the same
 * load stay within some ten thousand calls.
 */
const PLAIN_SLOTS = 4;

/** Coarse blocks keep runs fast; 60,000 tokens in all, as in the stand-in engine's default. */
const PREFIX_CACHE = { blockTokens: 100, cacheBlocks: 600 };

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
    engine: { ...defaultEngineBatchOptions, ...PREFIX_CACHE },
  };
}
