import type { Clock } from '@apricotrill/utils';
import type { DecisionLog } from '../observe/DecisionLog.js';
import type { RequestRunner } from '../request/RequestRunner.js';
import type { ReplicaConnections } from '../upstream/ReplicaConnections.js';
import type { ClaimPort } from './ClaimPort.js';
import type { BodyLimits } from './readBody.js';
import type { RoutingTable } from './RoutingTable.js';

/**
 * What the handlers of callers' requests share.
 *
 * @internal
 */
export interface CallerContext {
  clock: Clock;
  limits: BodyLimits;
  /** The configuration in force; undefined until the first one is. */
  getTable: () => RoutingTable | undefined;
  claims: ClaimPort;
  runner: RequestRunner;
  connections: ReplicaConnections;
  log: DecisionLog;
}
