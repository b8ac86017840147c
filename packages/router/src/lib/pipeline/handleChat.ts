import { ExecutionOutcome } from '@apricotrill/policy';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { getChatRequestFault } from '../request/ChatRequest.js';
import type { ChatRequest } from '../request/ChatRequest.js';
import { ChatStreamSink } from '../request/ChatStreamSink.js';
import { ChatCompletionSink } from '../request/ChatCompletionSink.js';
import { ChatExecution } from '../request/ChatExecution.js';
import { EngineRequestBody } from '../request/EngineRequestBody.js';
import type { IdentifiedCall } from './IdentifiedCall.js';
import type { HandlerContext } from './HandlerContext.js';
import { CLASS_HEADER, identifyClass, identifyModelService } from './identify.js';
import { ProblemError, ProblemReason } from './Problem.js';
import { receive } from './receive.js';
import type { ReceivedRequest } from './receive.js';

function createMalformedError(detail: string): ProblemError {
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

function parseChatRequest(body: Buffer): ChatRequest {
  let value: unknown;
  try {
    value = JSON.parse(body.toString('utf8'));
  } catch (error) {
    throw createMalformedError(`the body is not JSON: ${(error as Error).message}`);
  }
  const fault = getChatRequestFault(value);
  if (fault !== undefined) {
    throw createMalformedError(fault);
  }
  return value as ChatRequest;
}

/** A deeply nested body can be parsed but exhausts the stack when it is serialized. */
function createEngineRequestBody(chat: ChatRequest): EngineRequestBody {
  try {
    return new EngineRequestBody(chat);
  } catch {
    throw createMalformedError('the body is nested too deeply');
  }
}

function identifyCall(
  received: ReceivedRequest,
  chat: ChatRequest,
  request: IncomingMessage,
  response: ServerResponse,
): IdentifiedCall {
  const { table, workspace, requestId, arrivedAt } = received;
  const service = identifyModelService(table, chat.model);
  const serviceClass = identifyClass(table, {
    service: service.name,
    workspace: workspace.name,
    maxTokens: chat.max_completion_tokens ?? chat.max_tokens,
    wishedClass: request.headers[CLASS_HEADER] as string | undefined,
  });
  return { requestId, arrivedAt, workspace, service, serviceClass, response };
}

/**
 * Serves a chat completion, streamed or not.
 *
 * @throws ProblemError when the request is rejected before it is scheduled
 * @example
 * ```ts
 * await handleChat(context, request, response, requestId);
 * ```
 * @internal
 */
export async function handleChat(
  context: HandlerContext,
  request: IncomingMessage,
  response: ServerResponse,
  requestId: string,
): Promise<void> {
  const received = await receive(context, request, requestId);
  const chat = parseChatRequest(received.body);
  const body = createEngineRequestBody(chat);
  const call = identifyCall(received, chat, request, response);
  const { clock, connections, log } = context;
  log('identify', {
    request: requestId,
    workspace: call.workspace.name,
    service: call.service.name,
    class: call.serviceClass.name,
  });
  const Sink = chat.stream === true ? ChatStreamSink : ChatCompletionSink;
  const execution = new ChatExecution({
    requestId,
    body,
    tier: call.serviceClass.tier,
    response,
    sink: new Sink(response, requestId),
    connections,
    clock,
    onDropped: (what) => log('relay', { request: requestId, dropped: what }),
    onSlowCaller: () => log('relay', { request: requestId, event: 'caller-slow' }),
  });
  context.runner.run({ call, execution, chat, continuesWithoutCaller: false });
}
