import type { Milliseconds } from '@apricotrill/utils';
import { LossCause } from '../ClaimEvent.js';
import type { ClaimMember } from '../claimTypes.js';
import type { ClaimEntry, ClaimMutation, ClaimResponse } from '../messages.js';
import { EntryState } from '../messages.js';
import { createHead } from '../ShardHead.js';
import type { UnresolvedEpoch, ShardHead } from '../ShardHead.js';
import { CallProcessor } from './CallProcessor.js';
import type { CallProcessorHost } from './CallProcessor.js';
import type { Commit, CommitHeader, CommitLoopHost } from './CommitLoop.js';
import { CommitLoop } from './CommitLoop.js';
import { mergeMutation } from './entries.js';
import { Quarantine } from './Quarantine.js';
import type { ResolvedEpoch } from './Quarantine.js';
import type { ShardCall, ShardContext, ShardInput } from './shardMessages.js';
import type { ShardTable } from './ShardTable.js';
import { WaitingCalls } from './WaitingCalls.js';
import { WitnessSelector } from './WitnessSelector.js';
import { WitnessReplicator } from './WitnessReplicator.js';

/** The state of the shard that a takeover passes to the ownership. */
export interface OwnershipSettings {
  table: ShardTable;
  header: CommitHeader;
  version: number;
  sequence: number;
  confirmedAt: Milliseconds;
  unresolvedEpochs: UnresolvedEpoch[];
}

/** Called once, when this daemon no longer owns the shard. */
export type OwnershipEndHandler = (cause: LossCause, newOwner: ClaimMember | undefined) => void;

/**
 * The ownership of a shard, from the takeover until the shard is lost. Claims are answered from the
 * table at once where possible, and granted once the store or the witness has the grant.
 */
export class Ownership {
  private readonly table: ShardTable;

  private readonly commitLoop: CommitLoop;

  private readonly callProcessor: CallProcessor;

  private readonly waitingCalls: WaitingCalls;

  private readonly quarantine: Quarantine;

  private replicator: WitnessReplicator;

  private sequence: number;

  private readonly witnessSelector: WitnessSelector;

  private pendingHandOver: { successor: ClaimMember | undefined } | undefined;

  constructor(
    private readonly context: ShardContext,
    settings: OwnershipSettings,
    readonly startedAt: Milliseconds,
    private readonly onEnd: OwnershipEndHandler,
  ) {
    const { table, header, version, sequence } = settings;
    this.table = table;
    this.sequence = sequence;
    this.quarantine = new Quarantine(context, settings.unresolvedEpochs);
    this.waitingCalls = new WaitingCalls(context);
    this.witnessSelector = new WitnessSelector(context);
    this.commitLoop = new CommitLoop(
      context,
      table,
      this.createCommitLoopHost(),
      header,
      version,
      settings,
    );
    this.replicator = new WitnessReplicator(context, header.epoch, header.witness, sequence);
    const processorHost = this.createCallProcessorHost();
    this.callProcessor = new CallProcessor(context, table, this.waitingCalls, processorHost);
  }

  get epoch(): number {
    return this.commitLoop.nextHeader.epoch;
  }

  /** The last epoch that the store has confirmed. */
  get confirmedEpoch(): number {
    return this.replicator.epoch;
  }

  /** Whether the shard could be handed over now. */
  get canHandOver(): boolean {
    return !this.commitLoop.isStoreUnresponsive && this.pendingHandOver === undefined;
  }

  /** Removes and returns the waiting calls. */
  drain(): ShardCall[] {
    return this.waitingCalls.drain();
  }

  /** The mutations that the store does not have yet, for a new owner. */
  getUncommittedMutations(): ClaimMutation[] {
    return this.replicator.getUncommittedMutations();
  }

  handle(input: ShardInput, now: Milliseconds): void {
    switch (input.kind) {
      case 'claim':
      case 'settle':
        this.handleCall(input, now);
        break;
      case 'head-read':
        this.commitLoop.handleRead(input.id, input.result, now);
        break;
      case 'written':
        this.commitLoop.handleWritten(input.id, input.result, now);
        break;
      case 'peer-responded':
        this.handlePeerResponse(input.id, input.response, now);
        break;
      case 'members':
        if (this.witnessSelector.isEnding(this.commitLoop.nextHeader.witness)) {
          this.changeWitness(now);
        }
        break;
      case 'rebalance':
        if (this.witnessSelector.isOutdated(this.commitLoop.nextHeader.witness)) {
          this.changeWitness(now);
        }
        break;
      default:
        break;
    }
  }

  /** Does whatever is due. Must be called after every input. */
  step(now: Milliseconds): void {
    if (this.quarantine.expire(now)) {
      this.endQuarantine(0, now);
    }
    this.quarantine.requestSeals(now);
    this.commitLoop.step(now);
    if (this.getNextWitnessCallTime(now) <= now) {
      this.replicator.send(now);
    }
    this.waitingCalls.release(this.commitLoop.committed, this.replicator.witnessed, this.epoch);
    this.waitingCalls.expire(now);
  }

  getNextWakeTime(now: Milliseconds): Milliseconds {
    return Math.min(
      this.quarantine.getNextWakeTime(),
      this.commitLoop.getNextWakeTime(),
      this.waitingCalls.getNextExpiry(),
      this.getNextWitnessCallTime(now),
    );
  }

  /** Grants nothing more, commits all mutations, and marks the shard as clean for the successor. */
  handOver(successor: ClaimMember | undefined, now: Milliseconds): void {
    this.pendingHandOver = { successor };
    this.commitLoop.nextHeader = { ...this.commitLoop.nextHeader, clean: true };
    this.commitLoop.request(now);
  }

  private handleCall(input: ShardCall, now: Milliseconds): void {
    if (this.pendingHandOver !== undefined) {
      const response = { kind: 'not-owner' as const, owner: this.pendingHandOver.successor };
      this.context.emit({ kind: 'reply', call: input.call, response });
    } else if (input.kind === 'claim') {
      this.callProcessor.claim(input, now);
    } else {
      this.callProcessor.settle(input, now);
    }
  }

  private handlePeerResponse(
    id: number,
    response: ClaimResponse | undefined,
    now: Milliseconds,
  ): void {
    if (this.replicator.handleResponse(id, response, this.commitLoop.isWitnessTrusted(now), now)) {
      if (this.replicator.isRefused) {
        this.witnessSelector.exclude(
          response?.kind === 'gone' ? this.replicator.witness : undefined,
        );
        this.changeWitness(now);
      }
      return;
    }
    const resolved = this.quarantine.handleResponse(id, response, now)?.resolved;
    if (resolved !== undefined) {
      this.mergeMutations(resolved, now);
    }
  }

  /** Merges the mutations that only the old witness or owner remembered. */
  private mergeMutations({ mutations }: ResolvedEpoch, now: Milliseconds): void {
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
    this.commitLoop.request(now);
    emit({
      kind: 'decision',
      event: { kind: 'quarantine-ended', shard, epoch: this.epoch, merged },
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
    const stored = entry === undefined ? undefined : { ...entry, sequence };
    if (stored === undefined) {
      this.table.remove(name);
    } else {
      this.table.put(stored);
    }
    this.replicator.record({ sequence, name, claim, entry: stored });
    this.commitLoop.request(due);
  }

  private requireCommit(due: Milliseconds): number {
    this.sequence += 1;
    this.commitLoop.request(due);
    return this.sequence;
  }

  /**
   * When to call the witness: at once while the store does not respond, otherwise when a claim has
   * waited for the store for too long.
   */
  private getNextWitnessCallTime(now: Milliseconds): Milliseconds {
    const { replicator, commitLoop, waitingCalls, context } = this;
    if (
      !replicator.isUsable ||
      replicator.hasCallInFlight ||
      !replicator.hasUnwitnessedMutations ||
      !commitLoop.isWitnessTrusted(now)
    ) {
      return Number.POSITIVE_INFINITY;
    }
    const wantedAt = commitLoop.isStoreUnresponsive
      ? now
      : waitingCalls.getOldestClaim() + context.options.witnessDelay;
    return Math.max(wantedAt, replicator.retryAt);
  }

  /** A new witness starts a new epoch, so that an epoch has the same witness throughout. */
  private changeWitness(now: Milliseconds): void {
    const { nextHeader } = this.commitLoop;
    const witness = this.witnessSelector.select();
    if (nextHeader.clean || (nextHeader.witness === undefined && witness === undefined)) {
      return;
    }
    this.commitLoop.nextHeader = { epoch: nextHeader.epoch + 1, witness, clean: false };
    this.commitLoop.request(now);
  }

  private createHead(commit: string, header: CommitHeader, now: Milliseconds): ShardHead {
    const { table, sequence } = this;
    const unresolvedEpochs = this.quarantine.getUnresolvedEpochs();
    return createHead(
      this.context.self,
      { commit, header, sequence, unresolvedEpochs, table },
      now,
    );
  }

  private onCommitted(commit: Commit): void {
    const { shard, emit } = this.context;
    const isCommittedGrant = ({ sequence, entry }: ClaimMutation) =>
      sequence <= commit.sequence && entry?.state === EntryState.Running;
    emit({
      kind: 'committed',
      claims: this.replicator.getUncommittedMutations().filter(isCommittedGrant).length,
    });
    this.replicator.discardUpTo(commit.sequence);
    const { epoch, witness } = commit.header;
    if (epoch !== this.replicator.epoch) {
      const later = this.replicator.getUncommittedMutations();
      this.replicator = new WitnessReplicator(this.context, epoch, witness, commit.sequence);
      later.forEach((mutation) => this.replicator.record(mutation));
      const event = { kind: 'witness-changed' as const, shard, epoch, witness: witness?.id };
      emit({ kind: 'decision', event });
    }
    if (commit.header.clean) {
      this.waitingCalls.release(commit.sequence, commit.sequence, epoch);
      this.onEnd(LossCause.HandedOver, this.pendingHandOver?.successor);
    }
  }

  private createCommitLoopHost(): CommitLoopHost {
    return {
      getSequence: () => this.sequence,
      createHead: (commit, header, now) => this.createHead(commit, header, now),
      onCommitted: (commit) => this.onCommitted(commit),
      onLost: (head) =>
        this.onEnd(head?.clean === true ? LossCause.Vacant : LossCause.Conflict, head?.owner),
    };
  }

  private createCallProcessorHost(): CallProcessorHost {
    return {
      getEpoch: () => this.epoch,
      isQuarantined: () => this.quarantine.isActive,
      getSequence: () => this.sequence,
      canGrant: (now) =>
        !this.commitLoop.isStoreDown ||
        (this.replicator.isResponding && this.commitLoop.isWitnessTrusted(now)),
      requireCommit: (due) => this.requireCommit(due),
      mutate: (name, claim, entry, due) => this.mutate(name, claim, entry, due),
    };
  }
}
