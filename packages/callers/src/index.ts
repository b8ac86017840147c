export { abortResponse, destroyResponse } from './lib/abortResponse.js';
export { readBody } from './lib/BodyReader/BodyReader.js';
export type { BodyLimits, BodyResult } from './lib/BodyReader/BodyReader.js';
export { CallerConnections } from './lib/CallerConnections/CallerConnections.js';
export type {
  CallerConnectionOptions,
  ConnectionCounts,
} from './lib/CallerConnections/CallerConnections.js';
export { MalformedKind, refuseConnection } from './lib/refuseConnection.js';
export type { RefusalBody } from './lib/refuseConnection.js';
export { DEFAULT_SEQUENCE_LIMITS, createSequentialServer } from './lib/createSequentialServer.js';
export type { SequentialServerOptions } from './lib/createSequentialServer.js';
export type { RequestSequenceLimits } from './lib/RequestSequences/RequestSequences.js';
export { waitForSocketEvents } from './lib/waitForSocketEvents.js';
export { waitForPendingConnections } from './lib/waitForPendingConnections.js';
