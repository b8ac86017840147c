/**
 * The fields of a chat request that the router reads. Everything else in the body is forwarded to the
 * engine unchanged.
 *
 * @internal
 */
export interface ChatRequest {
  model: string;
  messages: { role: string; content: unknown }[];
  stream?: boolean;
  max_tokens?: number;
  max_completion_tokens?: number;
}

function isMessage(value: unknown): boolean {
  return (
    typeof value === 'object' &&
    value !== null &&
    typeof (value as { role?: unknown }).role === 'string' &&
    'content' in value
  );
}

/** Client libraries send `null` for fields that are not set. */
function isAbsent(value: unknown): boolean {
  return value === undefined || value === null;
}

const LIMIT_KEYS = ['max_tokens', 'max_completion_tokens'];

function getLimitFault(key: string, limit: unknown): string | undefined {
  const isRight = isAbsent(limit) || (Number.isInteger(limit) && (limit as number) > 0);
  return isRight ? undefined : `\`${key}\` must be a whole number above 0`;
}

/**
 * Checks the shape of a chat request.
 *
 * @param value - the parsed body
 * @returns a description of the fault and of what is expected; undefined when the request is valid
 * @example
 * ```ts
 * const fault = getChatRequestFault(JSON.parse(text));
 * ```
 * @internal
 */
export function getChatRequestFault(value: unknown): string | undefined {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) {
    return 'the body must be a JSON object';
  }
  const { model, messages, stream, n } = value as Record<string, unknown>;
  if (typeof model !== 'string' || model === '') {
    return '`model` must be the name of a model';
  }
  if (!Array.isArray(messages) || messages.length === 0 || !messages.every(isMessage)) {
    return '`messages` must be a list of objects with `role` and `content`, not empty';
  }
  if (!isAbsent(stream) && typeof stream !== 'boolean') {
    return '`stream` must be true or false';
  }
  if (!isAbsent(n) && n !== 1) {
    return '`n` must be 1: one request gets one answer';
  }
  return LIMIT_KEYS.map((key) => getLimitFault(key, (value as Record<string, unknown>)[key])).find(
    (fault) => fault !== undefined,
  );
}
