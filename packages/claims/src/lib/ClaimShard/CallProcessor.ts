import type { Milliseconds } from '@apricotrill/utils';
import { AnswerSource } from '../ClaimEvent.js';
import type { ClaimOutcome } from '../claimTypes.js';
import { RefusalReason, UnknownCause } from '../claimTypes.js';
import type { ClaimEntry, OwnerResponse } from '../messages.js';
import { truncateOutcome } from '../truncateOutcome.js';
import { EntryState } from '../messages.js';
import { applyOutcome, createEntry, getResponseForRepeat } from './entries.js';
import type { ShardCall, ShardContext } from './shardMessages.js';
import type { ShardTable } from './ShardTable.js';
import type { WaitingCalls } from './WaitingCalls.js';

type ClaimCall = Extract<ShardCall, { kind: 'claim' }>;

type SettleCall = Extract<ShardCall, { kind: 'settle' }>;

/** What the processor needs from the ownership that it belongs to. */
export interface CallProcessorHost {
  getEpoch(): number;
  /** Whether keys may have been granted that the table does not contain. */
  isQuarantined(): boolean;
  getSequence(): number;
  /** Whether the store or the witness can make a new grant durable, as far as is known. */
  canGrant(now: Milliseconds): boolean;
  /**
   * Requests a commit by `due` even if nothing changes.
   *
   * @returns the sequence number of the commit
   */
  requireCommit(due: Milliseconds): number;
  /** Records a change of the table. `due` is when a commit must start at the latest. */
  mutate(name: string, claim: string, entry: ClaimEntry | undefined, due: Milliseconds): void;
}

/** Processes claims and outcomes while the shard is owned. */
export class CallProcessor {
  /**
   * Claims that their entry daemon gave up on, with the time until which late copies are refused.
   */
  private readonly abandoned = new Map<string, Milliseconds>();

  constructor(
    private readonly context: ShardContext,
    private readonly table: ShardTable,
    private readonly waitingCalls: WaitingCalls,
    private readonly host: CallProcessorHost,
  ) {}

  claim(input: ClaimCall, now: Milliseconds): void {
    const { request } = input;
    const entry = this.table.get(request.name, now);
    if (entry?.claim === request.claim && entry.state === EntryState.Running) {
      // The same attempt again after its first response was lost: it waits for the same mutation.
      this.waitingCalls.add({ input, sequence: entry.sequence, since: now });
    } else if (entry !== undefined) {
      this.respond(input, getResponseForRepeat(entry, request, this.context, now));
    } else if (this.isAbandoned(request.claim, now)) {
      this.refuse(input, RefusalReason.Timeout);
    } else if (this.host.isQuarantined()) {
      this.respond(input, { kind: 'unknown', cause: UnknownCause.Quarantine });
    } else {
      this.claimNewKey(input, now);
    }
  }

  settle(input: SettleCall, now: Milliseconds): void {
    const { request } = input;
    const entry = this.table.get(request.name, now);
    if (entry?.claim === request.claim && entry.state !== EntryState.Settled) {
      this.recordOutcome(entry, input.outcome, now);
    } else if (entry === undefined && this.host.isQuarantined()) {
      this.restoreFromOutcome(input, now);
    }
    if (input.outcome.kind === 'not-run') {
      this.abandon(request.claim, now);
    }
    const kept = this.table.get(request.name, now);
    const sequence =
      kept?.claim === request.claim ? kept.sequence : this.requestOwnershipProof(now);
    this.waitingCalls.add({ input, sequence, since: now });
  }

  /**
   * Requests the commit after which an outcome is confirmed whose claim is not in the table. The
   * claim may have been released or have expired, or another daemon may have it because this one
   * lost the shard without knowing. If the outcome were confirmed without a commit, it would not be
   * reported again, and repeats of a request that was answered would be told that it is in
   * progress. The commit proves who owns the shard.
   */
  private requestOwnershipProof(now: Milliseconds): number {
    return this.host.requireCommit(now + this.context.options.settleDelay);
  }

  private recordOutcome(entry: ClaimEntry, outcome: ClaimOutcome, now: Milliseconds): void {
    const { options } = this.context;
    // During a long outage no entries leave the head, so it must be kept below the limit of the
    // store.
    const isFull = this.table.size >= options.maxHeadSize / 2;
    const stored = truncateOutcome(outcome, isFull ? 0 : options.maxResponseSize);
    const changed = applyOutcome(entry, stored, options, now);
    this.host.mutate(entry.name, entry.claim, changed, now + options.settleDelay);
  }

  /**
   * Restores an entry from the outcome of a grant that was lost with the previous owner and its
   * witness.
   */
  private restoreFromOutcome({ request, outcome }: SettleCall, now: Milliseconds): void {
    if (outcome.kind !== 'not-run') {
      const sequence = this.host.getSequence() + 1;
      this.recordOutcome(createEntry(request, this.context.options, sequence, now), outcome, now);
    }
  }

  private claimNewKey(input: ClaimCall, now: Milliseconds): void {
    const { options } = this.context;
    const { request } = input;
    // Expired keys are otherwise removed by commits, but a full shard that refuses every claim has
    // nothing to commit. Without this call it would stay full for good.
    this.table.expire(now);
    if (!this.host.canGrant(now)) {
      this.refuse(input, RefusalReason.StoreUnavailable);
    } else if (this.table.count >= options.maxEntries || this.table.size >= options.maxHeadSize) {
      this.refuse(input, RefusalReason.Overload);
    } else {
      const entry = createEntry(request, options, this.host.getSequence() + 1, now);
      this.host.mutate(entry.name, entry.claim, entry, now);
      this.waitingCalls.add({ input, sequence: entry.sequence, since: now });
    }
  }

  /**
   * Remembers that a claim was given up. Otherwise a copy of the claim that the network delivers
   * after the release would take the key for a request that no longer exists, and every repeat
   * would be told `in-progress` until it expires.
   */
  private abandon(claim: string, now: Milliseconds): void {
    this.abandoned.set(claim, now + this.context.options.retention);
    for (const [old, until] of this.abandoned) {
      if (until > now) {
        break;
      }
      this.abandoned.delete(old);
    }
  }

  private isAbandoned(claim: string, now: Milliseconds): boolean {
    return (this.abandoned.get(claim) ?? now) > now;
  }

  private respond(input: ClaimCall, response: OwnerResponse): void {
    const { shard, emit } = this.context;
    emit({ kind: 'reply', call: input.call, response: { kind: 'answer', answer: response } });
    const { requestId, holder } = input.request;
    const source = AnswerSource.Memory;
    const fields = { shard, epoch: this.host.getEpoch(), requestId, holder: holder.id, source };
    emit({ kind: 'decision', event: { kind: 'claim-answered', answer: response.kind, ...fields } });
  }

  private refuse(input: ClaimCall, reason: RefusalReason): void {
    const { shard, emit, options } = this.context;
    const retryAfter = options.maxRetryDelay;
    const response = { kind: 'refused' as const, reason, retryAfter, held: false };
    emit({ kind: 'reply', call: input.call, response });
    const { requestId } = input.request;
    emit({ kind: 'decision', event: { kind: 'claim-refused', shard, requestId, reason } });
  }
}
