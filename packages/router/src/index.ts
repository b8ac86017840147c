export { createRouterDaemon } from './lib/createRouterDaemon.js';
export type { RouterDaemonOptions } from './lib/createRouterDaemon.js';
export { RouterDaemon } from './lib/daemon/RouterDaemon.js';
export type { RouterDaemonDependencies } from './lib/daemon/RouterDaemon.js';
export type { DaemonPorts, SharedState, SharedStateListener } from './lib/daemon/SharedState.js';
export { createDecisionLog } from './lib/observe/DecisionLog.js';
export { defaultRouterOptions } from './lib/options.js';
