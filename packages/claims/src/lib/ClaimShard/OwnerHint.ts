import type { Milliseconds } from '@apricotrill/utils';
import type { ClaimMember } from '../claimTypes.js';
import { isSuspect, isSameProcess } from '../placement.js';
import type { ShardContext } from './shardMessages.js';

interface Hint {
  owner: ClaimMember;
  until: Milliseconds;
}

/** The owner of a shard at this daemon's last read of the head, for redirects. */
export class OwnerHint {
  private hint: Hint | undefined;

  constructor(private readonly context: ShardContext) {}

  /** Returns the owner while it is alive in this daemon's view or was read recently. */
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
