import { ExecutionOutcome } from '@apricotrill/policy';
import type { Workspace } from '@apricotrill/model';
import type { Milliseconds } from '@apricotrill/utils';
import type { IncomingMessage } from 'node:http';
import type { CallerContext } from './HandlerContext.js';
import { identifyWorkspace } from './identify.js';
import { ProblemError, ProblemReason } from './Problem.js';
import { readBody } from './readBody.js';
import type { RoutingTable } from './RoutingTable.js';

/**
 * A request that has been read.
 *
 * @internal
 */
export interface ReceivedRequest {
  requestId: string;
  arrived: Milliseconds;
  table: RoutingTable;
  workspace: Workspace;
  body: Buffer;
}

function getTableOrRefuse(context: CallerContext): RoutingTable {
  const table = context.getTable();
  if (table !== undefined) {
    return table;
  }
  throw new ProblemError(
    {
      reason: ProblemReason.NotReady,
      status: 503,
      title: 'Not ready',
      detail: 'this daemon has no configuration yet',
      outcome: ExecutionOutcome.NotRun,
      retryAfter: 1000,
    },
    { step: 'receive', peer: 'caller' },
  );
}

/**
 * The first filter. The key is checked before the body is read, so that a stranger can't make the
 * daemon hold bodies.
 *
 * @throws ProblemError 401, 400, 408, 413 or 503
 * @example
 * ```ts
 * const received = await receive(context, request, requestId);
 * ```
 * @internal
 */
export async function receive(
  context: CallerContext,
  request: IncomingMessage,
  requestId: string,
): Promise<ReceivedRequest> {
  const arrived = context.clock.now();
  const table = getTableOrRefuse(context);
  const workspace = identifyWorkspace(table, request.headers.authorization);
  const body = await readBody(request, context.limits, context.clock);
  return { requestId, arrived, table, workspace, body };
}
