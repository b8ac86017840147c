import type { Milliseconds } from '@apricotrill/utils';
import type { ClaimMember } from '../claimTypes.js';
import { isActive, isSuspect, isSameProcess } from '../placement.js';
import type { ShardContext } from './shardMessages.js';

/** How long a daemon leaves a shard alone that it does not own. */
export class TakeoverCooldown {
  private until: Milliseconds = Number.NEGATIVE_INFINITY;

  /** The living owner for whose sake we rest. */
  private owner: ClaimMember | undefined;

  constructor(private readonly context: ShardContext) {}

  /** Two daemons whose views differ would otherwise take the shard from each other in turn. */
  startAfterLoss(now: Milliseconds): void {
    this.owner = undefined;
    this.until = now + this.context.options.takeoverCooldown;
  }

  /**
   * Rests after the owner was found to live. One that shuts down leaves the shard soon, and its
   * offer may get lost: whoever rested for long would turn callers away meanwhile.
   */
  startAfterOwnerFound(owner: ClaimMember, now: Milliseconds): void {
    const { takeoverCooldown, commitInterval } = this.context.options;
    const member = this.findMember(owner);
    const isStaying = member !== undefined && isActive(member);
    this.owner = owner;
    this.until = now + (isStaying ? takeoverCooldown : commitInterval);
  }

  /** A rest for an owner's sake ends with the owner: its callers would be turned away for nothing. */
  isOver(now: Milliseconds): boolean {
    const { owner } = this;
    const member = owner === undefined ? undefined : this.findMember(owner);
    const hasGone = owner !== undefined && (member === undefined || isSuspect(member));
    return hasGone || now >= this.until;
  }

  private findMember(owner: ClaimMember): ClaimMember | undefined {
    return this.context.members.find((member) => isSameProcess(member, owner));
  }
}
