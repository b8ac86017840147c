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

/** What the processor needs of the ownership around it. */
export interface CallProcessorHost {
  getEpoch(): number;
  /** Whether keys may have been granted that the table does not hold. */
  isQuarantined(): boolean;
  getSequence(): number;
  /** Whether the store or the witness can make a new grant safe, as far as we know. */
  canGrant(now: Milliseconds): boolean;
  /** Has a commit made by `due` that changes nothing. @returns its sequence */
  requireCommit(due: Milliseconds): number;
  /** Notes a change of the table; `due` is when a commit must start at the latest. */
  mutate(name: string, claim: string, entry: ClaimEntry | undefined, due: Milliseconds): void;
}

/** Answers claims and takes outcomes while the shard is owned. */
export class CallProcessor {
  /** Claims given up by their entry daemon, with the time until which a late copy is refused. */
  private readonly abandoned = new Map<string, Milliseconds>();

  constructor(
    private readonly context: ShardContext,
    private readonly table: ShardTable,
    private readonly waiting: WaitingCalls,
    private readonly host: CallProcessorHost,
  ) {}

  claim(input: ClaimCall, now: Milliseconds): void {
    const { request } = input;
    const entry = this.table.get(request.name, now);
    if (entry?.claim === request.claim && entry.state === EntryState.Running) {
      // The same try again, after its first response was lost: it waits for the same mutation.
      this.waiting.add({ input, sequence: entry.sequence, since: now });
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
    this.waiting.add({ input, sequence, since: now });
  }

  /**
   * The commit that answers an outcome of a claim that is not in the table. It may have been released or
   * have expired; or this daemon lost the shard without knowing, and another one has the claim. Called
   * stored here, the outcome would be reported no more, and repeats of a request that was answered
   * would be told that it runs. The commit shows whose shard it is.
   */
  private requestOwnershipProof(now: Milliseconds): number {
    return this.host.requireCommit(now + this.context.options.settleDelay);
  }

  private recordOutcome(entry: ClaimEntry, outcome: ClaimOutcome, now: Milliseconds): void {
    const { options } = this.context;
    // During a long outage nothing leaves the head: keep it under the store's limit.
    const isFull = this.table.size >= options.maxHeadSize / 2;
    const stored = truncateOutcome(outcome, isFull ? 0 : options.maxResponseSize);
    const changed = applyOutcome(entry, stored, options, now);
    this.host.mutate(entry.name, entry.claim, changed, now + options.settleDelay);
  }

  /** The outcome of a grant that was lost with the last owner and its witness. */
  private restoreFromOutcome({ request, outcome }: SettleCall, now: Milliseconds): void {
    if (outcome.kind !== 'not-run') {
      const sequence = this.host.getSequence() + 1;
      this.recordOutcome(createEntry(request, this.context.options, sequence, now), outcome, now);
    }
  }

  private claimNewKey(input: ClaimCall, now: Milliseconds): void {
    const { options } = this.context;
    const { request } = input;
    // A full shard that refuses everything has nothing to commit, and a commit is when old keys are
    // cleared out otherwise: it would stay full for good.
    this.table.expire(now);
    if (!this.host.canGrant(now)) {
      this.refuse(input, RefusalReason.StoreUnavailable);
    } else if (this.table.count >= options.maxEntries || this.table.size >= options.maxHeadSize) {
      this.refuse(input, RefusalReason.Overload);
    } else {
      const entry = createEntry(request, options, this.host.getSequence() + 1, now);
      this.host.mutate(entry.name, entry.claim, entry, now);
      this.waiting.add({ input, sequence: entry.sequence, since: now });
    }
  }

  /**
   * Remembers a claim as given up. Without it, a copy of the claim that the network delivers after
   * the release would take the key for a request that no longer exists, and every repeat would be
   * told `in-progress` until it expires.
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
    emit({ kind: 'respond', call: input.call, response: { kind: 'answer', answer: response } });
    const { requestId, holder } = input.request;
    const source = AnswerSource.Memory;
    const fields = { shard, epoch: this.host.getEpoch(), requestId, holder: holder.id, source };
    emit({ kind: 'event', event: { kind: 'claim-answered', answer: response.kind, ...fields } });
  }

  private refuse(input: ClaimCall, reason: RefusalReason): void {
    const { shard, emit, options } = this.context;
    const retryAfter = options.maxRetryDelay;
    const response = { kind: 'refused' as const, reason, retryAfter, held: false };
    emit({ kind: 'respond', call: input.call, response });
    const { requestId } = input.request;
    emit({ kind: 'event', event: { kind: 'claim-refused', shard, requestId, reason } });
  }
}
