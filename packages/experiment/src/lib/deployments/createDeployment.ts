import { defaultEngineBatchOptions } from '@apricotrill/standins';
import type { Deployment } from './Deployment.js';
import { readExample } from './readExample.js';

/** Large blocks keep runs fast. The total of 60,000 tokens is the stand-in engine's default. */
const PREFIX_CACHE = { blockTokens: 100, cacheBlocks: 600 };

/** The properties of a deployment that its example configuration does not contain. */
export type DeploymentTraffic = Omit<Deployment, 'configuration' | 'engine'>;

/**
 * Creates a deployment from its example configuration and the assumptions about its traffic.
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
