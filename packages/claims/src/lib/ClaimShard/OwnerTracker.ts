import { exhaustiveSwitchError } from '@apricotrill/utils';
import type { Milliseconds } from '@apricotrill/utils';
import { LossCause } from '../ClaimEvent.js';
import type { ClaimMember } from '../claimTypes.js';
import { Backoff } from './Backoff.js';
import { OwnerHint } from './OwnerHint.js';
import { TakeoverCooldown } from './TakeoverCooldown.js';
import type { ShardContext } from './shardMessages.js';

/**
 * What a daemon that does not own a shard knows about it: who probably owns it, and when this
 * daemon may next attempt a takeover.
 */
export class OwnerTracker {
  /** The owner found at the last read of the head. */
  private readonly hint: OwnerHint;

  private readonly backoff: Backoff;

  private readonly cooldown: TakeoverCooldown;

  constructor(context: ShardContext) {
    const { retryDelay, maxRetryDelay } = context.options;
    this.hint = new OwnerHint(context);
    this.cooldown = new TakeoverCooldown(context);
    this.backoff = new Backoff(retryDelay, maxRetryDelay);
  }

  getOwner(now: Milliseconds): ClaimMember | undefined {
    return this.hint.get(now);
  }

  mayAttemptTakeover(now: Milliseconds): boolean {
    return this.cooldown.isOver(now) && now >= this.backoff.nextAttemptAt;
  }

  /** A live owner was found. */
  recordOwner(owner: ClaimMember, now: Milliseconds): void {
    this.backoff.recordSuccess();
    this.hint.set(owner, now);
    this.cooldown.startAfterOwnerFound(owner, now);
  }

  /** This daemon has taken over the shard. */
  recordTakeover(): void {
    this.backoff.recordSuccess();
    this.hint.clear();
  }

  /** A takeover failed. @returns whether it is the first failure in a row */
  recordFailure(now: Milliseconds): boolean {
    const isFirst = !this.backoff.isFailing;
    this.backoff.recordFailure(now);
    return isFirst;
  }

  /** This daemon has lost the shard. */
  recordLoss(cause: LossCause, newOwner: ClaimMember | undefined, now: Milliseconds): void {
    switch (cause) {
      case LossCause.Vacant:
        // The newer owner handed the shard to this daemon, which still believed that it owned it.
        // With a cooldown as after other losses, the shard would have no owner and its claims would
        // be refused. No other daemon can take it back in turn, so none is needed.
        this.hint.clear();
        break;
      case LossCause.HandedOver:
        this.hint.set(newOwner, now);
        if (newOwner === undefined) {
          this.cooldown.startAfterLoss(now);
        }
        break;
      case LossCause.Conflict:
      case LossCause.Challenged:
        this.hint.set(newOwner, now);
        this.cooldown.startAfterLoss(now);
        break;
      default:
        throw exhaustiveSwitchError(cause);
    }
  }
}
