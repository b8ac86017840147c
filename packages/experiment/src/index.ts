export { createDeployments } from './lib/deployments/deployments.js';
export type { Deployment, TrafficProfile } from './lib/deployments/Deployment.js';
export type { Policy, PolicyContext, PolicyFactory } from './lib/policies/Policy.js';
export { aggregate } from './lib/report/aggregate.js';
export { summariseRun } from './lib/report/summariseRun.js';
export { scenarios } from './lib/scenarios/scenarios.js';
export { runSimulation } from './lib/simulation/runSimulation.js';
