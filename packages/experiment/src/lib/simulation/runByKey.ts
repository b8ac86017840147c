import { assert } from '@apricotrill/utils';
import { createDeployments } from '../deployments/deployments.js';
import { policies } from '../policies/policies.js';
import type { RunKey, RunResult } from '../report/RunKey.js';
import { summariseRun } from '../report/summariseRun.js';
import { scenarios } from '../scenarios/scenarios.js';
import { runSimulation } from './runSimulation.js';

const deployments = createDeployments();

/**
 * Runs the simulation that a key identifies and summarises its result.
 *
 * @throws Error when the deployment, the scenario or the policy is unknown
 * @internal
 */
export async function runByKey(key: RunKey): Promise<RunResult> {
  const deployment = deployments[key.deployment];
  const createScenario = scenarios[key.scenario];
  const factory = policies[key.policy];
  assert(deployment !== undefined, `deployment ${key.deployment} is known`);
  assert(createScenario !== undefined, `scenario ${key.scenario} is known`);
  assert(factory !== undefined, `policy ${key.policy} is known`);
  const scenario = createScenario(deployment);
  const result = await runSimulation({ deployment, scenario, factory, seed: key.seed });
  return { key, summary: summariseRun(result) };
}
