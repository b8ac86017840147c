import type { Milliseconds } from '@apricotrill/utils';
import type { ClaimMember } from '../claimTypes.js';
import { isActive, isSuspect, isSameProcess } from '../placement.js';
import type { ShardContext } from './shardMessages.js';

/** The time during which a daemon makes no attempt to take over a shard that it does not own. */
export class TakeoverCooldown {
  private until: Milliseconds = Number.NEGATIVE_INFINITY;

  /** The live owner because of which the cooldown was started. */
  private owner: ClaimMember | undefined;

  constructor(private readonly context: ShardContext) {}

  /**
   * Starts the cooldown after a loss. Without it, two daemons with different views of the members
   * would repeatedly take the shard from each other.
   */
  startAfterLoss(now: Milliseconds): void {
    this.owner = undefined;
    this.until = now + this.context.options.takeoverCooldown;
  }

  /**
   * Starts the cooldown after a live owner was found. It is short if that owner is shutting down:
   * such an owner releases the shard soon, its offer may be lost, and callers would be refused
   * during a long cooldown.
   */
  startAfterOwnerFound(owner: ClaimMember, now: Milliseconds): void {
    const { takeoverCooldown, commitInterval } = this.context.options;
    const member = this.findMember(owner);
    const isStaying = member !== undefined && isActive(member);
    this.owner = owner;
    this.until = now + (isStaying ? takeoverCooldown : commitInterval);
  }

  /**
   * A cooldown because of a live owner ends early when that owner is gone: callers would be refused
   * for no reason.
   */
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
