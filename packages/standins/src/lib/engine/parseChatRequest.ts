import type { IncomingMessage } from 'node:http';
import { BadRequestError } from '../http/requestErrors.js';
import { readJson } from '../http/readBody.js';
import { DEFAULT_MAX_TOKENS } from './getExpectedTokens.js';
import type { ChatMessage } from './getExpectedTokens.js';

/** A chat request with the values of its headers. */
export interface ChatRequest {
  /** The caller's `x-request-id`, echoed in every chunk of the response. */
  requestId: string;
  model: string;
  messages: ChatMessage[];
  stream: boolean;
  maxTokens: number;
  priority: number;
  /** The index of the first token to send; above 0 if the caller resumes a stream. */
  startIndex: number;
}

interface ChatBody {
  model?: unknown;
  messages?: unknown;
  stream?: unknown;
  max_tokens?: unknown;
  priority?: unknown;
}

const DEFAULT_PRIORITY = 5;

function assertValid(condition: boolean, message: string): asserts condition {
  if (!condition) {
    throw new BadRequestError(message);
  }
}

function getInteger(value: unknown, name: string, fallback: number): number {
  const number = value ?? fallback;
  const isValid = typeof number === 'number' && Number.isInteger(number) && number >= 0;
  assertValid(isValid, `${name} must be a whole number`);
  return number;
}

function getStartIndex(request: IncomingMessage): number {
  const lastEventId = request.headers['last-event-id'];
  if (lastEventId === undefined) {
    return 0;
  }
  assertValid(/^\d+$/.test(String(lastEventId)), 'last-event-id must be the index of a token');
  return Number(lastEventId) + 1;
}

function isMessage(value: unknown): value is ChatMessage {
  const message = value as Partial<ChatMessage> | null;
  return typeof message?.role === 'string' && typeof message.content === 'string';
}

/** Parses a chat request. @throws BadRequestError if it is malformed */
export async function parseChatRequest(
  request: IncomingMessage,
  fallbackId: string,
): Promise<ChatRequest> {
  const body = await readJson<ChatBody>(request);
  const { model, messages } = body;
  assertValid(typeof model === 'string', 'model must be a text');
  assertValid(Array.isArray(messages) && messages.every(isMessage), 'messages must be a list');
  return {
    requestId: String(request.headers['x-request-id'] ?? fallbackId),
    model,
    messages,
    stream: body.stream === true,
    maxTokens: getInteger(body.max_tokens, 'max_tokens', DEFAULT_MAX_TOKENS),
    priority: getInteger(body.priority, 'priority', DEFAULT_PRIORITY),
    startIndex: getStartIndex(request),
  };
}
