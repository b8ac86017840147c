export { CallerConnections } from './lib/CallerConnections/CallerConnections.js';
export type { CallerConnectionOptions } from './lib/CallerConnections/CallerConnections.js';
