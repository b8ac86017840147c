import { ExecutionOutcome } from '@apricotrill/policy';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { PlainWork, writePlainAnswer } from '../request/PlainExecution.js';
import type { Settlement } from '../request/RequestTask.js';
import type { CallerCall } from './IdentifiedCall.js';
import type { CallerContext } from './HandlerContext.js';
import { claim, getFingerprint, readIdempotencyKey } from './claim.js';
import type { ClaimEnd } from './ClaimPort.js';
import { getErrorInDoubt } from './markOutcomeUnknown.js';
import { CLASS_HEADER, identifyClass, identifyPlainService } from './identify.js';
import { receive } from './receive.js';
import type { ReceivedRequest } from './receive.js';

/** Where a request is to go. */
interface PlainTarget {
  requestId: string;
  service: string;
  path: string;
}

/** Headers of the caller that a plain service gets. */
const FORWARDED_HEADERS = ['content-type', 'accept', 'accept-language', 'idempotency-key'];

function getForwardedHeaders(request: IncomingMessage): Record<string, string> {
  const pairs = FORWARDED_HEADERS.map((name) => [name, request.headers[name]] as const);
  return Object.fromEntries(
    pairs.filter((pair): pair is [string, string] => typeof pair[1] === 'string'),
  );
}

function identifyCall(
  received: ReceivedRequest,
  target: PlainTarget,
  request: IncomingMessage,
  response: ServerResponse,
): CallerCall {
  const { table, workspace, requestId, arrived } = received;
  const service = identifyPlainService(table, target.service);
  const serviceClass = identifyClass(table, {
    service: service.name,
    workspace: workspace.name,
    method: request.method,
    path: target.path,
    wishedClass: request.headers[CLASS_HEADER] as string | undefined,
  });
  return { requestId, arrived, workspace, service, serviceClass, response };
}

/** Reads a request and finds out what it is for. @throws ProblemError when it is refused */
async function receiveCall(
  context: CallerContext,
  request: IncomingMessage,
  response: ServerResponse,
  target: PlainTarget,
) {
  try {
    const received = await receive(context, request, target.requestId);
    return { received, call: identifyCall(received, target, request, response) };
  } catch (error) {
    throw getErrorInDoubt(error, request);
  }
}

/** What a settlement proves about a claimed request. */
function getClaimEnd(settlement: Settlement, work: PlainWork): ClaimEnd {
  const answer = work.getAnswer();
  if (settlement.kind === 'answered' && answer !== undefined) {
    return { kind: 'answered', answer };
  }
  return settlement.kind === 'given-up' && settlement.outcome === ExecutionOutcome.NotRun
    ? { kind: 'released' }
    : { kind: 'unknown' };
}

/**
 * Serves a call to a plain service. One that may not be repeated is claimed first, and goes on to
 * its end when its caller leaves: cutting it off would leave nobody knowing whether it ran.
 *
 * @throws ProblemError when the request is refused before it is scheduled
 * @example
 * ```ts
 * await handlePlain(context, request, response, { requestId, service, path });
 * ```
 * @internal
 */
export async function handlePlain(
  context: CallerContext,
  request: IncomingMessage,
  response: ServerResponse,
  target: PlainTarget,
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
  const work = new PlainWork({
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
    context.runner.run({ call, work, outlivesCaller: false });
    return;
  }
  const key = readIdempotencyKey(request.headers['idempotency-key']);
  const fingerprint = getFingerprint(method, path, received.body);
  const pass = await claim(
    context.claims,
    { workspace: call.workspace.name, key, fingerprint, requestId },
    { clock: context.clock, patience: call.serviceClass.deadline, log: context.log },
  );
  context.log('claim', { request: requestId, key, kind: pass.kind });
  if (pass.kind === 'answered') {
    writePlainAnswer(response, pass.answer, requestId);
    return;
  }
  const onSettled = (settlement: Settlement) => pass.end(getClaimEnd(settlement, work));
  context.runner.run({ call, work, outlivesCaller: true, onSettled });
}
