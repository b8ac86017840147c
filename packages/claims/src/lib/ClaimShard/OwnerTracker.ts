import { exhaustiveSwitchError } from '@apricotrill/utils';
import type { Milliseconds } from '@apricotrill/utils';
import { LossCause } from '../ClaimEvent.js';
import type { ClaimMember } from '../claimTypes.js';
import { Backoff } from './Backoff.js';
import { OwnerHint } from './OwnerHint.js';
import { ShardRest } from './TakeoverCooldown.js';
import type { ShardContext } from './shardMessages.js';

/** What a daemon that does not own a shard believes: who does, and from when on it may look itself. */
export class OwnerOutlook {
  /** Who owned the shard when we last looked. */
  private readonly hint: OwnerHint;

  private readonly backoff: Backoff;

  private readonly rest: ShardRest;

  constructor(context: ShardContext) {
    const { retryDelay, retryDelayLimit } = context.options;
    this.hint = new OwnerHint(context);
    this.rest = new ShardRest(context);
    this.backoff = new Backoff(retryDelay, retryDelayLimit);
  }

  getOwner(now: Milliseconds): ClaimMember | undefined {
    return this.hint.get(now);
  }

  mayLook(now: Milliseconds): boolean {
    return this.rest.isOver(now) && now >= this.backoff.due;
  }

  /** A live owner was found. */
  noteOwner(owner: ClaimMember, now: Milliseconds): void {
    this.backoff.succeed();
    this.hint.set(owner, now);
    this.rest.startAfterLook(owner, now);
  }

  /** The shard is ours. */
  noteTaken(): void {
    this.backoff.succeed();
    this.hint.clear();
  }

  /** A takeover failed. @returns whether it is the first in a row */
  noteFailure(now: Milliseconds): boolean {
    const isFirst = !this.backoff.isFailing;
    this.backoff.fail(now);
    return isFirst;
  }

  /** The shard left us. */
  noteLoss(cause: LossCause, to: ClaimMember | undefined, now: Milliseconds): void {
    switch (cause) {
      case LossCause.Vacant:
        // The newer owner offered it to us while we took ourselves for the owner. Left alone as after
        // other losses, the shard would have no owner, and its claims would be refused; there is nobody
        // to take it from us in turn.
        this.hint.clear();
        break;
      case LossCause.HandedOver:
        this.hint.set(to, now);
        if (to === undefined) {
          this.rest.startAfterLoss(now);
        }
        break;
      case LossCause.Conflict:
      case LossCause.Challenged:
        this.hint.set(to, now);
        this.rest.startAfterLoss(now);
        break;
      default:
        throw exhaustiveSwitchError(cause);
    }
  }
}
