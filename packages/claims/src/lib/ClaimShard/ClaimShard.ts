import { exhaustiveSwitchError } from '@apricotrill/utils';
import type { Milliseconds } from '@apricotrill/utils';
import type { TakeoverProof } from '../ClaimEvent.js';
import { LossCause } from '../ClaimEvent.js';
import type { ClaimMember } from '../claimTypes.js';
import type { ClaimResponse } from '../messages.js';
import { getOwnerOrder } from '../placement.js';
import { OwnerOutlook } from './OwnerTracker.js';
import type { OwnershipEnd, OwnershipStart } from './Ownership.js';
import { Ownership } from './Ownership.js';
import type { ShardCall, ShardContext, ShardInput } from './shardMessages.js';
import type { TakeoverEnd } from './Takeover.js';
import { Takeover } from './Takeover.js';

type Phase =
  | { kind: 'idle' }
  | { kind: 'taking'; takeover: Takeover }
  | { kind: 'owning'; ownership: Ownership };

/**
 * One daemon's part in one shard: a state machine without I/O. Inputs and the time go in through
 * {@link ClaimShard.handle}, effects come out through the context's `emit`.
 *
 * @internal
 */
export class ClaimShard {
  private phase: Phase = { kind: 'idle' };

  /** Calls that wait for a takeover in progress. */
  private queued: ShardCall[] = [];

  /** Takeovers of ours whose confirmation was lost. */
  private readonly ownCommits = new Set<string>();

  private readonly outlook: OwnerOutlook;

  /** The last owner has left the shard to us since the takeover in progress began. */
  private isOffered = false;

  private isLeaving = false;

  /** The time of the input being handled. */
  private now: Milliseconds = 0;

  private wakeAt: Milliseconds = Number.POSITIVE_INFINITY;

  constructor(private readonly context: ShardContext) {
    this.outlook = new OwnerOutlook(context);
  }

  get isOwned(): boolean {
    return this.phase.kind === 'owning';
  }

  handle(input: ShardInput, now: Milliseconds): void {
    this.now = now;
    switch (input.kind) {
      case 'members':
        this.context.members = input.members;
        this.onResult(input);
        break;
      case 'claim':
      case 'settle':
        this.onCall(input);
        break;
      case 'challenge':
        this.onChallenge(input.call, input.epoch);
        break;
      case 'take':
        this.isOffered = true;
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
        this.onResult(input);
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
      this.phase.kind === 'owning' ? this.phase.ownership.getNextWake(this.now) : Infinity;
    if (next < this.wakeAt) {
      this.wakeAt = next;
      this.context.emit({ kind: 'wake', at: next });
    }
  }

  private onCall(input: ShardCall): void {
    if (this.phase.kind === 'owning') {
      this.phase.ownership.handle(input, this.now);
    } else if (this.phase.kind === 'taking') {
      this.queued.push(input);
    } else if (this.mayTake()) {
      this.queued.push(input);
      this.startTakeover();
    } else {
      this.redirect(input);
    }
  }

  private onResult(input: ShardInput): void {
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

  /** Whether to look at the object now, and to take the shard if nobody has it. */
  private mayTake(): boolean {
    if (this.isLeaving || !this.outlook.mayLook(this.now)) {
      return false;
    }
    // A takeover of ours may have taken effect unconfirmed: the others would send everyone here,
    // and we would send them away, for as long as nobody looks.
    return this.ownCommits.size > 0 || this.isPreferred();
  }

  private startTakeover(): void {
    if (this.phase.kind !== 'idle' || this.isLeaving) {
      return;
    }
    this.isOffered = false;
    const onEnd = (end: TakeoverEnd) => this.onTakeoverEnd(end);
    const takeover = new Takeover(this.context, this.ownCommits, onEnd, this.now);
    this.phase = { kind: 'taking', takeover };
  }

  private onTakeoverEnd(end: TakeoverEnd): void {
    this.phase = { kind: 'idle' };
    switch (end.kind) {
      case 'taken':
        this.startOwnership(end.start, end.proof);
        break;
      case 'owned':
        this.outlook.noteOwner(end.owner, this.now);
        break;
      case 'failed':
        this.onTakeoverFailed();
        break;
      default:
        throw exhaustiveSwitchError(end);
    }
    if (this.isOffered) {
      // The offer came while we were reading what the last owner had not written yet.
      this.startTakeover();
    }
    this.releaseQueued();
  }

  private onTakeoverFailed(): void {
    const isFirst = this.outlook.noteFailure(this.now);
    if (isFirst && this.queued.length > 0) {
      // One lost answer is no outage: try once more before the callers are turned away.
      this.startTakeover();
    }
  }

  private startOwnership(start: OwnershipStart, proof: TakeoverProof): void {
    const onEnd: OwnershipEnd = (cause, to) => this.onOwnershipEnd(cause, to);
    const ownership = new Ownership(this.context, start, this.now, onEnd);
    this.phase = { kind: 'owning', ownership };
    this.ownCommits.clear();
    this.outlook.noteTaken();
    const { shard, emit } = this.context;
    const { epoch, witness } = start.header;
    const decision = { kind: 'shard-taken' as const, shard, epoch, witness: witness?.id, proof };
    emit({ kind: 'decision', decision });
  }

  private onOwnershipEnd(cause: LossCause, to: ClaimMember | undefined): void {
    if (this.phase.kind !== 'owning') {
      return;
    }
    const { ownership } = this.phase;
    this.phase = { kind: 'idle' };
    const { shard, emit } = this.context;
    const { epoch } = ownership;
    emit({ kind: 'decision', decision: { kind: 'shard-left', shard, epoch, to: to?.id, cause } });
    this.queued.push(...ownership.drain());
    this.outlook.noteLoss(cause, to, this.now);
    if (cause === LossCause.HandedOver && to !== undefined) {
      const { createId } = this.context;
      emit({ kind: 'call-peer', id: createId(), peer: to, message: { kind: 'take', shard } });
    } else if (cause === LossCause.Vacant && this.mayTake()) {
      this.startTakeover();
    }
    this.releaseQueued();
  }

  /**
   * A newer owner asks us to let an epoch go. It has taken the shard at the store already, so any
   * epoch of ours up to that one is over, also one whose confirmation we still wait for.
   */
  private onChallenge(call: number, epoch: number): void {
    const { phase } = this;
    this.ownCommits.clear();
    if (phase.kind === 'owning' && phase.ownership.confirmedEpoch <= epoch) {
      this.reply(call, { kind: 'sealed', mutations: phase.ownership.getLog() });
      this.onOwnershipEnd(LossCause.Challenged, undefined);
      return;
    }
    if (phase.kind === 'taking') {
      this.phase = { kind: 'idle' };
      this.releaseQueued();
    }
    this.reply(call, { kind: 'gone' });
  }

  private rebalance(): void {
    if (this.phase.kind === 'idle' && this.mayTake()) {
      this.startTakeover();
    }
    if (this.phase.kind !== 'owning') {
      return;
    }
    const { ownership } = this.phase;
    ownership.handle({ kind: 'rebalance' }, this.now);
    const isOld = this.now - ownership.since >= this.context.options.minimumTenure;
    if (!this.isPreferred() && isOld && ownership.canMove) {
      ownership.leave(this.getSuccessor(), this.now);
    }
  }

  private leave(): void {
    this.isLeaving = true;
    if (this.phase.kind === 'owning') {
      this.phase.ownership.leave(this.getSuccessor(), this.now);
    } else if (this.phase.kind === 'taking') {
      this.phase = { kind: 'idle' };
      this.releaseQueued();
    }
  }

  private getSuccessor(): ClaimMember | undefined {
    const { shard, self, members } = this.context;
    return getOwnerOrder(shard, members).find(({ id }) => id !== self.id);
  }

  private releaseQueued(): void {
    const calls = this.queued;
    this.queued = [];
    for (const input of calls) {
      if (this.phase.kind === 'taking') {
        this.queued.push(input);
      } else if (this.phase.kind === 'owning') {
        this.phase.ownership.handle(input, this.now);
      } else {
        this.redirect(input);
      }
    }
  }

  private redirect(input: ShardCall): void {
    const isOurs = this.isPreferred() && !this.isLeaving;
    const owner = this.outlook.getOwner(this.now) ?? (isOurs ? undefined : this.getSuccessor());
    this.reply(input.call, { kind: 'not-owner', owner });
  }

  private reply(call: number, reply: ClaimResponse): void {
    this.context.emit({ kind: 'reply', call, reply });
  }
}
