import type { Milliseconds } from '@apricotrill/utils';
import type { ClaimMember } from '../claimTypes.js';
import { isSuspect, isSameProcess } from '../placement.js';
import type { ShardContext } from './shardMessages.js';

interface Hint {
  owner: ClaimMember;
  until: Milliseconds;
}

/** Who owned the shard when this daemon last looked, for redirects. */
export class OwnerHint {
  private hint: Hint | undefined;

  constructor(private readonly context: ShardContext) {}

  /** The owner, while it lives in our view or was read of just now. */
  get(now: Milliseconds): ClaimMember | undefined {
    const { hint } = this;
    if (hint === undefined) {
      return undefined;
    }
    const isLive = this.context.members.some(
      (member) => isSameProcess(member, hint.owner) && !isSuspect(member),
    );
    return isLive || now < hint.until ? hint.owner : undefined;
  }

  set(owner: ClaimMember | undefined, now: Milliseconds): void {
    const until = now + this.context.options.takeoverCooldown;
    const isOther = owner !== undefined && !isSameProcess(owner, this.context.self);
    this.hint = isOther ? { owner, until } : undefined;
  }

  clear(): void {
    this.hint = undefined;
  }
}
