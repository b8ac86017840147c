import { ExecutionOutcome } from '@apricotrill/policy';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { getChatRequestFault } from '../request/ChatRequest.js';
import type { ChatRequest } from '../request/ChatRequest.js';
import { ChatStreamSink } from '../request/ChatStreamSink.js';
import { ChatWholeSink } from '../request/ChatCompletionSink.js';
import { ChatWork } from '../request/ChatExecution.js';
import { EngineBody } from '../request/EngineRequestBody.js';
import type { CallerCall } from './IdentifiedCall.js';
import type { CallerContext } from './HandlerContext.js';
import { CLASS_HEADER, identifyClass, identifyModelService } from './identify.js';
import { ProblemError, ProblemReason } from './Problem.js';
import { receive } from './receive.js';
import type { ReceivedRequest } from './receive.js';

function createMalformed(detail: string): ProblemError {
  return new ProblemError(
    {
      reason: ProblemReason.Malformed,
      status: 400,
      title: 'The chat request is malformed',
      detail,
      outcome: ExecutionOutcome.NotRun,
    },
    { step: 'receive', peer: 'caller' },
  );
}

function parseChat(body: Buffer): ChatRequest {
  let value: unknown;
  try {
    value = JSON.parse(body.toString('utf8'));
  } catch (error) {
    throw createMalformed(`the body is not JSON: ${(error as Error).message}`);
  }
  const fault = getChatRequestFault(value);
  if (fault !== undefined) {
    throw createMalformed(fault);
  }
  return value as ChatRequest;
}

/** A body of brackets in brackets is read without trouble, and exhausts the stack when written. */
function createEngineBody(chat: ChatRequest): EngineBody {
  try {
    return new EngineBody(chat);
  } catch {
    throw createMalformed('the body is nested too deeply');
  }
}

function identifyCall(
  received: ReceivedRequest,
  chat: ChatRequest,
  request: IncomingMessage,
  response: ServerResponse,
): CallerCall {
  const { table, workspace, requestId, arrived } = received;
  const service = identifyModelService(table, chat.model);
  const serviceClass = identifyClass(table, {
    service: service.name,
    workspace: workspace.name,
    maxTokens: chat.max_completion_tokens ?? chat.max_tokens,
    wishedClass: request.headers[CLASS_HEADER] as string | undefined,
  });
  return { requestId, arrived, workspace, service, serviceClass, response };
}

/**
 * Serves a chat completion, streamed or whole.
 *
 * @throws ProblemError when the request is refused before it is scheduled
 * @example
 * ```ts
 * await handleChat(context, request, response, requestId);
 * ```
 * @internal
 */
export async function handleChat(
  context: CallerContext,
  request: IncomingMessage,
  response: ServerResponse,
  requestId: string,
): Promise<void> {
  const received = await receive(context, request, requestId);
  const chat = parseChat(received.body);
  const body = createEngineBody(chat);
  const call = identifyCall(received, chat, request, response);
  const { clock, connections, log } = context;
  log('identify', {
    request: requestId,
    workspace: call.workspace.name,
    service: call.service.name,
    class: call.serviceClass.name,
  });
  const Sink = chat.stream === true ? ChatStreamSink : ChatWholeSink;
  const work = new ChatWork({
    requestId,
    body,
    tier: call.serviceClass.tier,
    response,
    sink: new Sink(response, requestId),
    connections,
    clock,
    onStray: (what) => log('relay', { request: requestId, dropped: what }),
    onSlowCaller: () => log('relay', { request: requestId, event: 'caller-slow' }),
  });
  context.runner.run({ call, work, chat, outlivesCaller: false });
}
