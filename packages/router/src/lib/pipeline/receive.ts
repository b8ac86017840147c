import { ExecutionOutcome } from '@apricotrill/policy';
import type { Workspace } from '@apricotrill/model';
import type { Milliseconds } from '@apricotrill/utils';
import type { IncomingMessage } from 'node:http';
import type { HandlerContext } from './HandlerContext.js';
import { identifyWorkspace } from './identify.js';
import { ProblemError, ProblemReason } from './Problem.js';
import { readBody } from './readBody.js';
import type { RoutingTable } from './RoutingTable.js';

/**
 * A request whose body has been read.
 *
 * @internal
 */
export interface ReceivedRequest {
  requestId: string;
  arrivedAt: Milliseconds;
  table: RoutingTable;
  workspace: Workspace;
  body: Buffer;
}

function requireRoutingTable(context: HandlerContext): RoutingTable {
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
 * The first step of the request path. Checks the API key before reading the body, so that
 * unauthenticated clients can't make the daemon buffer bodies.
 *
 * @throws ProblemError 401, 400, 408, 413 or 503
 * @example
 * ```ts
 * const received = await receive(context, request, requestId);
 * ```
 * @internal
 */
export async function receive(
  context: HandlerContext,
  request: IncomingMessage,
  requestId: string,
): Promise<ReceivedRequest> {
  const arrivedAt = context.clock.now();
  const table = requireRoutingTable(context);
  const workspace = identifyWorkspace(table, request.headers.authorization);
  const body = await readBody(request, context.limits, context.clock);
  return { requestId, arrivedAt, table, workspace, body };
}
