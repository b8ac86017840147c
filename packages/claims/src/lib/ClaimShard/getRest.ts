import type { Milliseconds } from '@apricotrill/utils';
import type { ClaimMember } from '../claimTypes.js';
import { isActive, isSameProcess } from '../placement.js';
import type { ShardContext } from './shardMessages.js';

/**
 * How long to leave a shard alone after its owner was found to live. One that shuts down leaves it
 * soon, and its offer may get lost: whoever rested for long would turn callers away meanwhile.
 */
export function getRest(owner: ClaimMember, { members, options }: ShardContext): Milliseconds {
  const isStaying = members.some((member) => isSameProcess(member, owner) && isActive(member));
  return isStaying ? options.takeBackDelay : options.commitInterval;
}
