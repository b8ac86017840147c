import { getHash } from '@apricotrill/utils';
import type { ChatMessage } from './getExpectedTokens.js';

/**
 * A prompt divided into the blocks of a prefix cache.
 *
 * @public
 */
export interface PromptBlocks {
  /** The number of tokens of the whole prompt; a word counts as one token. */
  promptTokens: number;
  /** The full blocks, each identified by a hash of itself and all blocks before it. */
  blocks: number[];
}

/**
 * Divides a prompt into the blocks of a prefix cache.
 *
 * @param blockTokens - tokens in a block; an incomplete last block is not cached
 * @example
 * ```ts
 * const { blocks, promptTokens } = getPromptBlocks(messages, 16);
 * ```
 * @public
 */
export function getPromptBlocks(
  messages: readonly ChatMessage[],
  blockTokens: number,
): PromptBlocks {
  const text = messages.map(({ role, content }) => `${role} ${content}`).join(' ');
  const tokens = text.split(/\s+/).filter((token) => token !== '');
  const blocks: number[] = [];
  let previous = 0;
  for (let end = blockTokens; end <= tokens.length; end += blockTokens) {
    previous = getHash(tokens.slice(end - blockTokens, end).join(' '), previous);
    blocks.push(previous);
  }
  return { promptTokens: tokens.length, blocks };
}
