import { ExecutionOutcome } from '@apricotrill/policy';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { PlainExecution, writePlainResponse } from '../request/PlainExecution.js';
import type { Settlement } from '../request/RequestTask.js';
import type { IdentifiedCall } from './IdentifiedCall.js';
import type { HandlerContext } from './HandlerContext.js';
import { claim, getFingerprint, readIdempotencyKey } from './claim.js';
import type { ClaimEnd } from './ClaimPort.js';
import { markOutcomeUnknown } from './markOutcomeUnknown.js';
import { CLASS_HEADER, identifyClass, identifyPlainService } from './identify.js';
import { receive } from './receive.js';
import type { ReceivedRequest } from './receive.js';

/** The service and path a request is addressed to. */
interface PlainRequestTarget {
  requestId: string;
  service: string;
  path: string;
}

/** Request headers forwarded to plain services. */
const FORWARDED_HEADERS = ['content-type', 'accept', 'accept-language', 'idempotency-key'];

function getForwardedHeaders(request: IncomingMessage): Record<string, string> {
  const entries = FORWARDED_HEADERS.map((name) => [name, request.headers[name]] as const);
  return Object.fromEntries(
    entries.filter((entry): entry is [string, string] => typeof entry[1] === 'string'),
  );
}

function identifyCall(
  received: ReceivedRequest,
  target: PlainRequestTarget,
  request: IncomingMessage,
  response: ServerResponse,
): IdentifiedCall {
  const { table, workspace, requestId, arrivedAt } = received;
  const service = identifyPlainService(table, target.service);
  const serviceClass = identifyClass(table, {
    service: service.name,
    workspace: workspace.name,
    method: request.method,
    path: target.path,
    wishedClass: request.headers[CLASS_HEADER] as string | undefined,
  });
  return { requestId, arrivedAt, workspace, service, serviceClass, response };
}

/** Reads a request and identifies its service and class. @throws ProblemError when it is rejected */
async function receiveCall(
  context: HandlerContext,
  request: IncomingMessage,
  response: ServerResponse,
  target: PlainRequestTarget,
) {
  try {
    const received = await receive(context, request, target.requestId);
    return { received, call: identifyCall(received, target, request, response) };
  } catch (error) {
    throw markOutcomeUnknown(error, request);
  }
}

/** Returns how to end a claim, given what the settlement proves about its request. */
function getClaimEnd(settlement: Settlement, execution: PlainExecution): ClaimEnd {
  const plainResponse = execution.getPlainResponse();
  if (settlement.kind === 'answered' && plainResponse !== undefined) {
    return { kind: 'answered', answer: plainResponse };
  }
  return settlement.kind === 'given-up' && settlement.outcome === ExecutionOutcome.NotRun
    ? { kind: 'released' }
    : { kind: 'unknown' };
}

/**
 * Serves a request to a plain service. A non-repeatable request is claimed first, and continues when
 * its caller disconnects: aborting it would make it unknown whether it ran.
 *
 * @throws ProblemError when the request is rejected before it is scheduled
 * @example
 * ```ts
 * await handlePlain(context, request, response, { requestId, service, path });
 * ```
 * @internal
 */
export async function handlePlain(
  context: HandlerContext,
  request: IncomingMessage,
  response: ServerResponse,
  target: PlainRequestTarget,
): Promise<void> {
  const { requestId, path } = target;
  const { received, call } = await receiveCall(context, request, response, target);
  const { repeatable } = call.serviceClass;
  const method = request.method ?? 'GET';
  context.log('identify', {
    request: requestId,
    workspace: call.workspace.name,
    service: call.service.name,
    class: call.serviceClass.name,
  });
  const execution = new PlainExecution({
    requestId,
    method,
    path,
    headers: getForwardedHeaders(request),
    body: received.body,
    repeatable,
    response,
    connections: context.connections,
    clock: context.clock,
  });
  if (repeatable) {
    context.runner.run({ call, execution, continuesWithoutCaller: false });
    return;
  }
  const key = readIdempotencyKey(request.headers['idempotency-key']);
  const fingerprint = getFingerprint(method, path, received.body);
  const claimResult = await claim(
    context.claims,
    { workspace: call.workspace.name, key, fingerprint, requestId },
    { clock: context.clock, timeout: call.serviceClass.deadline, log: context.log },
  );
  context.log('claim', { request: requestId, key, kind: claimResult.kind });
  if (claimResult.kind === 'answered') {
    writePlainResponse(response, claimResult.answer, requestId);
    return;
  }
  const onSettled = (settlement: Settlement) => claimResult.end(getClaimEnd(settlement, execution));
  context.runner.run({ call, execution, continuesWithoutCaller: true, onSettled });
}
