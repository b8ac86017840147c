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
 * The answer's length when a request names no `max_tokens`.
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

const TWO_TO_32 = 4294967296;

/** One in five answers runs into the limit; the rest end anywhere below it. */
const OVERSHOOT = 1.25;

function getLength(seed: number, maxTokens: number): number {
  const share = Math.min(1, (getHash('length', seed) / TWO_TO_32) * OVERSHOOT);
  return Math.max(1, Math.ceil(share * maxTokens));
}

function getToken(seed: number, index: number): string {
  const mark = getHash(String(index), seed);
  const word = WORDS[mark % WORDS.length]!;
  // The mark makes tokens of two answers, or of two places in one answer, differ.
  return `${index === 0 ? '' : ' '}${word}-${mark.toString(36)}`;
}

/**
 * The tokens every engine stand-in answers a chat request with: a pure function of the request, so
 * that a test computes the whole answer and compares. The length varies between 1 and `maxTokens`
 * and can't be guessed from the request.
 *
 * @param model - as in the request
 * @param messages - as in the request; only role and content count
 * @param maxTokens - the request's `max_tokens`
 * @example
 * ```ts
 * const whole = getExpectedAnswer('kielimalli', messages, 64).join('');
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
