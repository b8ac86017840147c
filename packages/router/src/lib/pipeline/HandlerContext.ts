import type { Clock } from '@apricotrill/utils';
import type { DecisionLog } from '../observe/DecisionLog.js';
import type { RequestRunner } from '../request/RequestRunner.js';
import type { ReplicaConnections } from '../upstream/ReplicaConnections.js';
import type { ClaimPort } from './ClaimPort.js';
import type { BodyLimits } from './readBody.js';
import type { RoutingTable } from './RoutingTable.js';

/**
 * Dependencies shared by the request handlers.
 *
 * @internal
 */
export interface HandlerContext {
  clock: Clock;
  limits: BodyLimits;
  /** Returns the configuration in force, or undefined before the first one. */
  getTable: () => RoutingTable | undefined;
  claims: ClaimPort;
  runner: RequestRunner;
  connections: ReplicaConnections;
  log: DecisionLog;
}
