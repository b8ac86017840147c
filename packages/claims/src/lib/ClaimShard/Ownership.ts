import type { Milliseconds } from '@apricotrill/utils';
import { LossCause } from '../ClaimEvent.js';
import type { ClaimMember } from '../claimTypes.js';
import type { ClaimEntry, ClaimMutation, ClaimResponse } from '../messages.js';
import { EntryState } from '../messages.js';
import { createHead } from '../ShardHead.js';
import type { Doubt, ShardHead } from '../ShardHead.js';
import { CallProcessor } from './CallProcessor.js';
import type { ProcessorSource } from './CallProcessor.js';
import type { Commit, CommitHeader, CommitSource } from './CommitLoop.js';
import { CommitLoop } from './CommitLoop.js';
import { mergeMutation } from './entries.js';
import { Quarantine } from './Quarantine.js';
import type { Clearance } from './Quarantine.js';
import type { ShardCall, ShardContext, ShardInput } from './shardMessages.js';
import type { ShardTable } from './ShardTable.js';
import { WaitingCalls } from './WaitingCalls.js';
import { WitnessChoice } from './WitnessSelector.js';
import { WitnessLink } from './WitnessReplicator.js';

/** What a takeover hands to the owner. */
export interface OwnershipStart {
  table: ShardTable;
  header: CommitHeader;
  version: number;
  sequence: number;
  provedAt: Milliseconds;
  doubts: Doubt[];
}

/** Called once, when the shard is no longer ours. */
export type OwnershipEnd = (cause: LossCause, to: ClaimMember | undefined) => void;

/**
 * The owner of a shard between a takeover and the shard's loss. It answers at once what the table
 * knows, and grants once the store or the witness has the grant.
 */
export class Ownership {
  private readonly table: ShardTable;

  private readonly commits: CommitLoop;

  private readonly processor: CallProcessor;

  private readonly waiting: WaitingCalls;

  private readonly quarantine: Quarantine;

  private link: WitnessLink;

  private sequence: number;

  private readonly choice: WitnessChoice;

  private leavingTo: { successor: ClaimMember | undefined } | undefined;

  constructor(
    private readonly context: ShardContext,
    start: OwnershipStart,
    readonly since: Milliseconds,
    private readonly onEnd: OwnershipEnd,
  ) {
    const { table, header, version, sequence } = start;
    this.table = table;
    this.sequence = sequence;
    this.quarantine = new Quarantine(context, start.doubts);
    this.waiting = new WaitingCalls(context);
    this.choice = new WitnessChoice(context);
    this.commits = new CommitLoop(context, table, this.createSource(), header, version, start);
    this.link = new WitnessLink(context, header.epoch, header.witness, sequence);
    const processorSource = this.createProcessorSource();
    this.processor = new CallProcessor(context, table, this.waiting, processorSource);
  }

  get epoch(): number {
    return this.commits.wanted.epoch;
  }

  /** The epoch that the store is known to have. */
  get confirmedEpoch(): number {
    return this.link.epoch;
  }

  /** Whether the shard could be handed over now. */
  get canMove(): boolean {
    return !this.commits.isUnanswered && this.leavingTo === undefined;
  }

  /** Takes out the calls that wait. */
  drain(): ShardCall[] {
    return this.waiting.drain();
  }

  /** What the store does not have yet, for a challenger. */
  getLog(): ClaimMutation[] {
    return this.link.getLog();
  }

  handle(input: ShardInput, now: Milliseconds): void {
    switch (input.kind) {
      case 'claim':
      case 'settle':
        this.onCall(input, now);
        break;
      case 'head-read':
        this.commits.onRead(input.id, input.result, now);
        break;
      case 'written':
        this.commits.onWritten(input.id, input.result, now);
        break;
      case 'peer-replied':
        this.onPeerReply(input.id, input.reply, now);
        break;
      case 'members':
        if (this.choice.isEnding(this.commits.wanted.witness)) {
          this.changeWitness(now);
        }
        break;
      case 'rebalance':
        if (this.choice.isOutdated(this.commits.wanted.witness)) {
          this.changeWitness(now);
        }
        break;
      default:
        break;
    }
  }

  /** Does whatever is due; call it after every input. */
  step(now: Milliseconds): void {
    if (this.quarantine.expire(now)) {
      this.endQuarantine(0, now);
    }
    this.quarantine.ask(now);
    this.commits.step(now);
    if (this.getWitnessTime(now) <= now) {
      this.link.send(now);
    }
    this.waiting.release(this.commits.committed, this.link.witnessed, this.epoch);
    this.waiting.expire(now);
  }

  getNextWake(now: Milliseconds): Milliseconds {
    return Math.min(
      this.quarantine.getNextWake(),
      this.commits.getNextWake(),
      this.waiting.getNextExpiry(),
      this.getWitnessTime(now),
    );
  }

  /** Grants nothing more, commits everything, and marks the shard clean for the successor. */
  leave(successor: ClaimMember | undefined, now: Milliseconds): void {
    this.leavingTo = { successor };
    this.commits.wanted = { ...this.commits.wanted, clean: true };
    this.commits.request(now);
  }

  private onCall(input: ShardCall, now: Milliseconds): void {
    if (this.leavingTo !== undefined) {
      const reply = { kind: 'not-owner' as const, owner: this.leavingTo.successor };
      this.context.emit({ kind: 'reply', call: input.call, reply });
    } else if (input.kind === 'claim') {
      this.processor.claim(input, now);
    } else {
      this.processor.settle(input, now);
    }
  }

  private onPeerReply(id: number, reply: ClaimResponse | undefined, now: Milliseconds): void {
    if (this.link.onReply(id, reply, this.commits.isTrusted(now), now)) {
      if (this.link.isRefused) {
        this.choice.exclude(reply?.kind === 'gone' ? this.link.witness : undefined);
        this.changeWitness(now);
      }
      return;
    }
    const clearance = this.quarantine.onReply(id, reply, now)?.clearance;
    if (clearance !== undefined) {
      this.merge(clearance, now);
    }
  }

  /** Takes in what only the old witness or owner remembered. */
  private merge({ mutations }: Clearance, now: Milliseconds): void {
    for (const mutation of mutations) {
      const known = this.table.get(mutation.name, now);
      const entry = mergeMutation(known, mutation, this.context.options, now);
      if (entry !== known) {
        this.mutate(mutation.name, mutation.claim, entry, now);
      }
    }
    if (!this.quarantine.isActive) {
      this.endQuarantine(mutations.length, now);
    }
  }

  private endQuarantine(merged: number, now: Milliseconds): void {
    const { shard, emit } = this.context;
    this.commits.request(now);
    emit({
      kind: 'decision',
      decision: { kind: 'quarantine-ended', shard, epoch: this.epoch, merged },
    });
  }

  private mutate(
    name: string,
    claim: string,
    entry: ClaimEntry | undefined,
    due: Milliseconds,
  ): void {
    this.sequence += 1;
    const { sequence } = this;
    const kept = entry === undefined ? undefined : { ...entry, sequence };
    if (kept === undefined) {
      this.table.remove(name);
    } else {
      this.table.put(kept);
    }
    this.link.record({ sequence, name, claim, entry: kept });
    this.commits.request(due);
  }

  private requireCommit(due: Milliseconds): number {
    this.sequence += 1;
    this.commits.request(due);
    return this.sequence;
  }

  /**
   * When the witness is to be asked: at once while the store does not answer, and otherwise when a
   * claim has waited for the store too long.
   */
  private getWitnessTime(now: Milliseconds): Milliseconds {
    const { link, commits, waiting, context } = this;
    if (!link.isUsable || link.isWaiting || !link.hasWork || !commits.isTrusted(now)) {
      return Number.POSITIVE_INFINITY;
    }
    const wanted = commits.isUnanswered
      ? now
      : waiting.getOldestClaim() + context.options.witnessDelay;
    return Math.max(wanted, link.retryAt);
  }

  /** A new witness means a new epoch, so that an epoch has one witness for good. */
  private changeWitness(now: Milliseconds): void {
    const { wanted } = this.commits;
    const witness = this.choice.get();
    if (wanted.clean || (wanted.witness === undefined && witness === undefined)) {
      return;
    }
    this.commits.wanted = { epoch: wanted.epoch + 1, witness, clean: false };
    this.commits.request(now);
  }

  private createHead(commit: string, header: CommitHeader, now: Milliseconds): ShardHead {
    const { table, sequence } = this;
    const doubts = this.quarantine.getDoubts();
    return createHead(this.context.self, { commit, header, sequence, doubts, table }, now);
  }

  private onCommitted(commit: Commit): void {
    const { shard, emit } = this.context;
    const isIn = ({ sequence, entry }: ClaimMutation) =>
      sequence <= commit.sequence && entry?.state === EntryState.Running;
    emit({ kind: 'committed', claims: this.link.getLog().filter(isIn).length });
    this.link.forgetUpTo(commit.sequence);
    const { epoch, witness } = commit.header;
    if (epoch !== this.link.epoch) {
      const later = this.link.getLog();
      this.link = new WitnessLink(this.context, epoch, witness, commit.sequence);
      later.forEach((mutation) => this.link.record(mutation));
      const decision = { kind: 'witness-changed' as const, shard, epoch, witness: witness?.id };
      emit({ kind: 'decision', decision });
    }
    if (commit.header.clean) {
      this.waiting.release(commit.sequence, commit.sequence, epoch);
      this.onEnd(LossCause.HandedOver, this.leavingTo?.successor);
    }
  }

  private createSource(): CommitSource {
    return {
      getSequence: () => this.sequence,
      createHead: (commit, header, now) => this.createHead(commit, header, now),
      onCommitted: (commit) => this.onCommitted(commit),
      onLost: (head) =>
        this.onEnd(head?.clean === true ? LossCause.Vacant : LossCause.Conflict, head?.owner),
    };
  }

  private createProcessorSource(): ProcessorSource {
    return {
      getEpoch: () => this.epoch,
      isQuarantined: () => this.quarantine.isActive,
      getSequence: () => this.sequence,
      canGrant: (now) =>
        !this.commits.isDown || (this.link.isAnswering && this.commits.isTrusted(now)),
      requireCommit: (due) => this.requireCommit(due),
      mutate: (name, claim, entry, due) => this.mutate(name, claim, entry, due),
    };
  }
}
