import { defaultEngineBatchOptions } from '@apricotrill/standins';
import type { Deployment } from './Deployment.js';
import { readExample } from './readExample.js';

/** Coarse blocks keep runs fast; 60,000 tokens in all, as in the stand-in engine's default. */
const PREFIX_CACHE = { blockTokens: 100, cacheBlocks: 600 };

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
    configuration: readExample(traffic.name),
    engine: { ...defaultEngineBatchOptions, ...PREFIX_CACHE },
  };
}
