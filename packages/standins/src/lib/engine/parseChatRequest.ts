import type { IncomingMessage } from 'node:http';
import { BadRequestError } from '../http/requestErrors.js';
import { readJson } from '../http/readBody.js';
import { DEFAULT_MAX_TOKENS } from './getExpectedTokens.js';
import type { ChatMessage } from './getExpectedTokens.js';

/** A chat request with what its headers say about it. */
export interface ChatRequest {
  /** The caller's `x-request-id`, echoed with every piece of the answer. */
  requestId: string;
  model: string;
  messages: ChatMessage[];
  stream: boolean;
  maxTokens: number;
  priority: number;
  /** The first token to send: above 0 when the caller resumes. */
  startIndex: number;
}

interface ChatBody {
  model?: unknown;
  messages?: unknown;
  stream?: unknown;
  max_tokens?: unknown;
  priority?: unknown;
}

const LEAST_PRIORITY = 5;

function check(condition: boolean, message: string): asserts condition {
  if (!condition) {
    throw new BadRequestError(message);
  }
}

function getWholeNumber(value: unknown, name: string, fallback: number): number {
  const number = value ?? fallback;
  const isWhole = typeof number === 'number' && Number.isInteger(number) && number >= 0;
  check(isWhole, `${name} must be a whole number`);
  return number;
}

function getStartIndex(request: IncomingMessage): number {
  const lastEventId = request.headers['last-event-id'];
  if (lastEventId === undefined) {
    return 0;
  }
  check(/^\d+$/.test(String(lastEventId)), 'last-event-id must be the index of a token');
  return Number(lastEventId) + 1;
}

function isMessage(value: unknown): value is ChatMessage {
  const message = value as Partial<ChatMessage> | null;
  return typeof message?.role === 'string' && typeof message.content === 'string';
}

/** Reads a chat request. @throws BadRequestError when it is malformed */
export async function parseChatRequest(
  request: IncomingMessage,
  fallbackId: string,
): Promise<ChatRequest> {
  const body = await readJson<ChatBody>(request);
  const { model, messages } = body;
  check(typeof model === 'string', 'model must be a text');
  check(Array.isArray(messages) && messages.every(isMessage), 'messages must be a list');
  return {
    requestId: String(request.headers['x-request-id'] ?? fallbackId),
    model,
    messages,
    stream: body.stream === true,
    maxTokens: getWholeNumber(body.max_tokens, 'max_tokens', DEFAULT_MAX_TOKENS),
    priority: getWholeNumber(body.priority, 'priority', LEAST_PRIORITY),
    startIndex: getStartIndex(request),
  };
}
