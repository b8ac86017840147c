import { exhaustiveSwitchError } from '@apricotrill/utils';
import type { Milliseconds } from '@apricotrill/utils';
import type { TakeoverProof } from '../ClaimEvent.js';
import { LossCause } from '../ClaimEvent.js';
import type { ClaimMember } from '../claimTypes.js';
import type { ClaimResponse } from '../messages.js';
import { getOwnerOrder } from '../placement.js';
import { OwnerTracker } from './OwnerTracker.js';
import type { OwnershipEndHandler, OwnershipSettings } from './Ownership.js';
import { Ownership } from './Ownership.js';
import type { ShardCall, ShardContext, ShardInput } from './shardMessages.js';
import type { TakeoverResult } from './Takeover.js';
import { Takeover } from './Takeover.js';

type Phase =
  | { kind: 'idle' }
  | { kind: 'taking'; takeover: Takeover }
  | { kind: 'owning'; ownership: Ownership };

/**
 * One daemon's part in one shard: a state machine without I/O. Inputs and the current time are
 * passed to {@link ClaimShard.handle}, and effects are passed to the context's `emit`.
 *
 * @internal
 */
export class ClaimShard {
  private phase: Phase = { kind: 'idle' };

  /** Calls that wait for a takeover in progress. */
  private queuedCalls: ShardCall[] = [];

  /** Takeovers by this daemon whose confirmation was lost. */
  private readonly ownCommits = new Set<string>();

  private readonly ownerTracker: OwnerTracker;

  /** The previous owner has offered the shard since the takeover in progress began. */
  private hasPendingOffer = false;

  private isLeaving = false;

  /** The time of the input that is being handled. */
  private now: Milliseconds = 0;

  private wakeAt: Milliseconds = Number.POSITIVE_INFINITY;

  constructor(private readonly context: ShardContext) {
    this.ownerTracker = new OwnerTracker(context);
  }

  get isOwned(): boolean {
    return this.phase.kind === 'owning';
  }

  handle(input: ShardInput, now: Milliseconds): void {
    this.now = now;
    switch (input.kind) {
      case 'members':
        this.context.members = input.members;
        this.handleResult(input);
        break;
      case 'claim':
      case 'settle':
        this.handleCall(input);
        break;
      case 'challenge':
        this.handleChallenge(input.call, input.epoch);
        break;
      case 'take':
        this.hasPendingOffer = true;
        this.startTakeover();
        break;
      case 'rebalance':
        this.rebalance();
        break;
      case 'leave':
        this.leave();
        break;
      case 'wake':
        this.wakeAt = Number.POSITIVE_INFINITY;
        break;
      default:
        this.handleResult(input);
    }
    this.step();
  }

  private step(): void {
    if (this.phase.kind !== 'owning') {
      return;
    }
    this.phase.ownership.step(this.now);
    // The step may have ended the ownership.
    const next =
      this.phase.kind === 'owning' ? this.phase.ownership.getNextWakeTime(this.now) : Infinity;
    if (next < this.wakeAt) {
      this.wakeAt = next;
      this.context.emit({ kind: 'wake', at: next });
    }
  }

  private handleCall(input: ShardCall): void {
    if (this.phase.kind === 'owning') {
      this.phase.ownership.handle(input, this.now);
    } else if (this.phase.kind === 'taking') {
      this.queuedCalls.push(input);
    } else if (this.mayTakeOver()) {
      this.queuedCalls.push(input);
      this.startTakeover();
    } else {
      this.redirect(input);
    }
  }

  private handleResult(input: ShardInput): void {
    if (this.phase.kind === 'owning') {
      this.phase.ownership.handle(input, this.now);
    } else if (this.phase.kind === 'taking') {
      this.phase.takeover.handle(input, this.now);
    }
  }

  private isPreferred(): boolean {
    const { shard, self, members } = this.context;
    return getOwnerOrder(shard, members)[0]?.id === self.id;
  }

  /** Whether to read the head now and to take over the shard if it has no owner. */
  private mayTakeOver(): boolean {
    if (this.isLeaving || !this.ownerTracker.mayAttemptTakeover(this.now)) {
      return false;
    }
    // A takeover by this daemon may have taken effect without a confirmation. Other daemons would
    // then redirect all callers here, and this one would redirect them away, until the head is
    // read.
    return this.ownCommits.size > 0 || this.isPreferred();
  }

  private startTakeover(): void {
    if (this.phase.kind !== 'idle' || this.isLeaving) {
      return;
    }
    this.hasPendingOffer = false;
    const onEnd = (result: TakeoverResult) => this.handleTakeoverEnd(result);
    const takeover = new Takeover(this.context, this.ownCommits, onEnd, this.now);
    this.phase = { kind: 'taking', takeover };
  }

  private handleTakeoverEnd(result: TakeoverResult): void {
    this.phase = { kind: 'idle' };
    switch (result.kind) {
      case 'taken':
        this.startOwnership(result.settings, result.proof);
        break;
      case 'owned':
        this.ownerTracker.recordOwner(result.owner, this.now);
        break;
      case 'failed':
        this.handleTakeoverFailure();
        break;
      default:
        throw exhaustiveSwitchError(result);
    }
    if (this.hasPendingOffer) {
      // The offer arrived while this daemon was reading a head that the previous owner had not yet
      // updated.
      this.startTakeover();
    }
    this.releaseQueuedCalls();
  }

  private handleTakeoverFailure(): void {
    const isFirst = this.ownerTracker.recordFailure(this.now);
    if (isFirst && this.queuedCalls.length > 0) {
      // A single lost response is no outage, so try once more before the callers are refused.
      this.startTakeover();
    }
  }

  private startOwnership(settings: OwnershipSettings, proof: TakeoverProof): void {
    const onEnd: OwnershipEndHandler = (cause, newOwner) =>
      this.handleOwnershipEnd(cause, newOwner);
    const ownership = new Ownership(this.context, settings, this.now, onEnd);
    this.phase = { kind: 'owning', ownership };
    this.ownCommits.clear();
    this.ownerTracker.recordTakeover();
    const { shard, emit } = this.context;
    const { epoch, witness } = settings.header;
    const event = { kind: 'shard-taken' as const, shard, epoch, witness: witness?.id, proof };
    emit({ kind: 'decision', event });
  }

  private handleOwnershipEnd(cause: LossCause, newOwner: ClaimMember | undefined): void {
    if (this.phase.kind !== 'owning') {
      return;
    }
    const { ownership } = this.phase;
    this.phase = { kind: 'idle' };
    const { shard, emit } = this.context;
    const { epoch } = ownership;
    emit({
      kind: 'decision',
      event: { kind: 'shard-left', shard, epoch, to: newOwner?.id, cause },
    });
    this.queuedCalls.push(...ownership.drain());
    this.ownerTracker.recordLoss(cause, newOwner, this.now);
    if (cause === LossCause.HandedOver && newOwner !== undefined) {
      const { createId } = this.context;
      emit({ kind: 'call-peer', id: createId(), peer: newOwner, message: { kind: 'take', shard } });
    } else if (cause === LossCause.Vacant && this.mayTakeOver()) {
      this.startTakeover();
    }
    this.releaseQueuedCalls();
  }

  /**
   * Handles the request of a newer owner to release an epoch. That owner has already taken over the
   * shard at the store, so every epoch of this daemon up to that one has ended, including one whose
   * confirmation is still outstanding.
   */
  private handleChallenge(call: number, epoch: number): void {
    const { phase } = this;
    this.ownCommits.clear();
    if (phase.kind === 'owning' && phase.ownership.confirmedEpoch <= epoch) {
      this.respond(call, { kind: 'sealed', mutations: phase.ownership.getUncommittedMutations() });
      this.handleOwnershipEnd(LossCause.Challenged, undefined);
      return;
    }
    if (phase.kind === 'taking') {
      this.phase = { kind: 'idle' };
      this.releaseQueuedCalls();
    }
    this.respond(call, { kind: 'gone' });
  }

  private rebalance(): void {
    if (this.phase.kind === 'idle' && this.mayTakeOver()) {
      this.startTakeover();
    }
    if (this.phase.kind !== 'owning') {
      return;
    }
    const { ownership } = this.phase;
    ownership.handle({ kind: 'rebalance' }, this.now);
    const isPastMinTenure = this.now - ownership.startedAt >= this.context.options.minTenure;
    if (!this.isPreferred() && isPastMinTenure && ownership.canHandOver) {
      ownership.handOver(this.getSuccessor(), this.now);
    }
  }

  private leave(): void {
    this.isLeaving = true;
    if (this.phase.kind === 'owning') {
      this.phase.ownership.handOver(this.getSuccessor(), this.now);
    } else if (this.phase.kind === 'taking') {
      this.phase = { kind: 'idle' };
      this.releaseQueuedCalls();
    }
  }

  private getSuccessor(): ClaimMember | undefined {
    const { shard, self, members } = this.context;
    return getOwnerOrder(shard, members).find(({ id }) => id !== self.id);
  }

  private releaseQueuedCalls(): void {
    const calls = this.queuedCalls;
    this.queuedCalls = [];
    for (const input of calls) {
      if (this.phase.kind === 'taking') {
        this.queuedCalls.push(input);
      } else if (this.phase.kind === 'owning') {
        this.phase.ownership.handle(input, this.now);
      } else {
        this.redirect(input);
      }
    }
  }

  private redirect(input: ShardCall): void {
    const isNextOwner = this.isPreferred() && !this.isLeaving;
    const owner =
      this.ownerTracker.getOwner(this.now) ?? (isNextOwner ? undefined : this.getSuccessor());
    this.respond(input.call, { kind: 'not-owner', owner });
  }

  private respond(call: number, response: ClaimResponse): void {
    this.context.emit({ kind: 'reply', call, response });
  }
}
