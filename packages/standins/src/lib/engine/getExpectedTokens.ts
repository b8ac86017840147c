import { getHash } from '@apricotrill/utils';

/**
 * One message of a chat request.
 *
 * @public
 */
export interface ChatMessage {
  role: string;
  content: string;
}

/**
 * The token limit of a request without `max_tokens`.
 *
 * @public
 */
export const DEFAULT_MAX_TOKENS = 256;

const WORDS = [
  'ink',
  'paper',
  'proof',
  'plate',
  'press',
  'order',
  'hold',
  'sheet',
  'colour',
  'margin',
  'unit',
  'gate',
  'lease',
  'tenant',
  'month',
  'deposit',
  'truck',
  'notice',
  'shelf',
  'key',
  'delivery',
  'quote',
  'fair',
  'banner',
  'label',
];

const HASH_RANGE = 4294967296;

/** One in five answers reaches the limit; the others are evenly distributed below it. */
const LENGTH_FACTOR = 1.25;

function getLength(seed: number, maxTokens: number): number {
  const share = Math.min(1, (getHash('length', seed) / HASH_RANGE) * LENGTH_FACTOR);
  return Math.max(1, Math.ceil(share * maxTokens));
}

function getToken(seed: number, index: number): string {
  const hash = getHash(String(index), seed);
  const word = WORDS[hash % WORDS.length]!;
  // The hash makes the tokens of different answers and positions differ.
  return `${index === 0 ? '' : ' '}${word}-${hash.toString(36)}`;
}

/**
 * Returns the tokens with which every engine stand-in answers a chat request. They are a pure
 * function of the request, so that a test can compute the whole answer and compare it. The length
 * varies between 1 and `maxTokens` and cannot be predicted from the request.
 *
 * @param model - as in the request
 * @param messages - as in the request; only role and content count
 * @param maxTokens - the request's `max_tokens`
 * @example
 * ```ts
 * const answer = getExpectedTokens('kielimalli', messages, 64).join('');
 * ```
 * @public
 */
export function getExpectedTokens(
  model: string,
  messages: readonly ChatMessage[],
  maxTokens: number = DEFAULT_MAX_TOKENS,
): string[] {
  const prompt = messages.map(({ role, content }) => [role, content]);
  const seed = getHash(JSON.stringify([model, prompt, maxTokens]));
  return Array.from({ length: getLength(seed, maxTokens) }, (_, index) => getToken(seed, index));
}
