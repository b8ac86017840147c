import type { StoredObject } from '@apricotrill/store';
import type { Milliseconds } from '@apricotrill/utils';
import type { ClaimMember } from '../claimTypes.js';
import { getHeadKey, getSegmentKey, parseHead } from '../ShardHead.js';
import type { SegmentReference, ShardHead } from '../ShardHead.js';
import { Backoff } from './Backoff.js';
import { CommitRateLimiter } from './CommitRateLimiter.js';
import { NO_ANSWER } from './shardMessages.js';
import type { HeadReadResult, ShardContext, WriteResult } from './shardMessages.js';
import type { SegmentPlan, ShardTable } from './ShardTable.js';

/** What a commit says about the shard besides its entries. */
export interface CommitHeader {
  epoch: number;
  witness?: ClaimMember;
  clean: boolean;
}

/** A write of the head by this owner. */
export interface Commit {
  id: string;
  header: CommitHeader;
  sequence: number;
  /** Expired segments that the head no longer lists. */
  dropped: SegmentReference[];
  sentAt: Milliseconds;
}

/** What the loop needs from the ownership that it belongs to. */
export interface CommitLoopHost {
  /** The last mutation made. */
  getSequence(): number;
  createHead(commitId: string, header: CommitHeader, now: Milliseconds): ShardHead;
  /** A commit took effect. */
  onCommitted(commit: Commit, now: Milliseconds): void;
  /** The head in the store is another owner's, which may have released the shard since. */
  onLost(head: ShardHead | undefined): void;
}

type Pending =
  | { kind: 'head'; id: number; commit: Commit }
  | { kind: 'segment'; id: number; number: number; plan: SegmentPlan }
  | { kind: 'read'; id: number; sentAt: Milliseconds };

/**
 * Group commit of one shard: one conditional write of the head at a time, containing all mutations
 * made so far, on average no more often than the commit interval. After a write without a response,
 * the head is read back and the write recognized by its commit id.
 */
export class CommitLoop {
  /**
   * When the store last confirmed that this daemon owns the shard: the time at which that call was
   * sent.
   */
  confirmedAt: Milliseconds;

  committed: number;

  /** The header of the next commit. */
  nextHeader: CommitHeader;

  private pending: Pending | undefined;

  /** Writes that may have taken effect, including the one in flight, by commit id. */
  private readonly unconfirmed = new Map<string, Commit>();

  private mustReadBack = false;

  private readonly backoff: Backoff;

  private readonly rateLimiter: CommitRateLimiter;

  constructor(
    private readonly context: ShardContext,
    private readonly table: ShardTable,
    private readonly host: CommitLoopHost,
    /** The last header that the store has confirmed. */
    private header: CommitHeader,
    private version: number,
    lastCommit: { sequence: number; confirmedAt: Milliseconds },
  ) {
    this.nextHeader = header;
    this.committed = lastCommit.sequence;
    this.confirmedAt = lastCommit.confirmedAt;
    this.rateLimiter = new CommitRateLimiter(context.options);
    this.backoff = new Backoff(context.options.retryDelay, context.options.maxRetryDelay);
  }

  /** The last call to the store had no response. */
  get isStoreUnresponsive(): boolean {
    return this.backoff.isFailing;
  }

  /** The read after a write without a response had no response either. */
  get isStoreDown(): boolean {
    return this.backoff.hasRepeatedFailures;
  }

  /**
   * Whether the owner may rely on the witness of the confirmed header: no write that names another
   * witness may have taken effect, and the store must have confirmed the ownership recently. A new
   * owner that cannot reach the witness relies on the second condition.
   */
  isWitnessTrusted(now: Milliseconds): boolean {
    const isHeaderCertain = [...this.unconfirmed.values()].every(
      ({ header }) => header.epoch === this.header.epoch && !header.clean,
    );
    return isHeaderCertain && now - this.confirmedAt <= this.context.options.witnessTrustTimeout;
  }

  /** Requests a commit that starts by the given time. */
  request(at: Milliseconds): void {
    this.rateLimiter.request(at);
  }

  getNextWakeTime(): Milliseconds {
    if (this.pending !== undefined) {
      return Number.POSITIVE_INFINITY;
    }
    if (this.mustReadBack) {
      return this.backoff.nextAttemptAt;
    }
    return Math.min(
      this.rateLimiter.nextStartAt,
      this.confirmedAt + this.context.options.verifyInterval,
    );
  }

  step(now: Milliseconds): void {
    if (this.pending !== undefined || now < this.getNextWakeTime()) {
      return;
    }
    if (!this.mustReadBack && now >= this.rateLimiter.nextStartAt) {
      this.write(now);
    } else {
      this.pending = { kind: 'read', id: this.context.createId(), sentAt: now };
      this.context.emit({ kind: 'read-head', id: this.pending.id });
    }
  }

  /** @returns whether the result was for this loop */
  handleRead(id: number, result: HeadReadResult, now: Milliseconds): boolean {
    if (this.pending?.kind !== 'read' || this.pending.id !== id) {
      return false;
    }
    const { sentAt } = this.pending;
    this.pending = undefined;
    if (result === NO_ANSWER) {
      this.handleNoAnswer(now);
    } else {
      this.handleAnswer();
      this.handleHead(result.object, sentAt, now);
    }
    return true;
  }

  /** @returns whether the result was for this loop */
  handleWritten(id: number, result: WriteResult, now: Milliseconds): boolean {
    const { pending } = this;
    if (pending === undefined || pending.kind === 'read' || pending.id !== id) {
      return false;
    }
    this.pending = undefined;
    if (result === NO_ANSWER) {
      this.handleNoAnswer(now);
      return true;
    }
    this.handleAnswer();
    if (pending.kind === 'segment') {
      this.handleSegmentWritten(pending.number, pending.plan, result);
    } else if (result.kind === 'accepted') {
      this.confirmCommit(pending.commit, result.version, pending.commit.sentAt, now);
    } else {
      this.handleHead(result.current, pending.commit.sentAt, now);
    }
    return true;
  }

  private write(now: Milliseconds): void {
    const { segmentThreshold, maxSegmentSize } = this.context.options;
    this.table.expire(now);
    const plan =
      this.table.movableSize > segmentThreshold
        ? this.table.planSegment(maxSegmentSize)
        : undefined;
    if (plan === undefined) {
      this.writeHead(now);
    } else {
      this.writeSegment(plan);
    }
  }

  private writeSegment(plan: SegmentPlan): void {
    const { shard, createId, emit } = this.context;
    const id = createId();
    const number = createId();
    this.pending = { kind: 'segment', id, number, plan };
    const key = getSegmentKey(shard, { writer: this.getWriter(), number });
    emit({ kind: 'write', id, key, value: plan.value, expectedVersion: 0 });
  }

  private writeHead(now: Milliseconds): void {
    const { shard, createId, emit } = this.context;
    const commit: Commit = {
      id: `${this.getWriter()}.${createId()}`,
      header: this.nextHeader,
      sequence: this.host.getSequence(),
      dropped: this.table.getExpiredSegments(),
      sentAt: now,
    };
    this.rateLimiter.start(now);
    this.unconfirmed.set(commit.id, commit);
    const value = JSON.stringify(this.host.createHead(commit.id, commit.header, now));
    const id = createId();
    this.pending = { kind: 'head', id, commit };
    emit({ kind: 'write', id, key: getHeadKey(shard), value, expectedVersion: this.version });
  }

  private getWriter(): string {
    const { self } = this.context;
    return `${self.id}.${self.incarnation}`;
  }

  private handleNoAnswer(now: Milliseconds): void {
    if (!this.backoff.isFailing) {
      this.emitStoreEvent('store-unavailable');
    }
    this.backoff.recordFailure(now);
    this.mustReadBack = true;
  }

  private handleAnswer(): void {
    if (this.backoff.isFailing) {
      this.emitStoreEvent('store-answers');
    }
    this.backoff.recordSuccess();
    this.mustReadBack = false;
  }

  private emitStoreEvent(kind: 'store-unavailable' | 'store-answers'): void {
    const { shard, emit } = this.context;
    emit({ kind: 'decision', event: { kind, shard, epoch: this.header.epoch } });
  }

  private handleSegmentWritten(
    number: number,
    plan: SegmentPlan,
    result: Exclude<WriteResult, typeof NO_ANSWER>,
  ): void {
    if (result.kind === 'conflict') {
      // The key exists already, which only a repeated delivery of this write can explain. The next
      // attempt uses a new key, and the object left behind is deleted after the next takeover.
      return;
    }
    const { version } = result;
    const reference = { writer: this.getWriter(), number, version, expires: plan.expires };
    this.table.finishSegment(plan, reference);
    const { shard, emit } = this.context;
    const { epoch } = this.header;
    const sizes = { entries: plan.names.length, size: plan.value.length };
    emit({ kind: 'decision', event: { kind: 'segment-written', shard, epoch, ...sizes } });
  }

  /** Handles the head as the store had it at some time after `sentAt`. */
  private handleHead(
    object: StoredObject | undefined,
    sentAt: Milliseconds,
    now: Milliseconds,
  ): void {
    if (object?.version === this.version) {
      this.confirmedAt = Math.max(this.confirmedAt, sentAt);
      if (this.unconfirmed.size > 0) {
        // It may still take effect later. Keep its id, and write again with the same expected
        // version, so that only one of the two writes can take effect.
        this.request(now);
      }
      return;
    }
    const head = object === undefined ? undefined : parseHead(object.value);
    const own = head === undefined ? undefined : this.unconfirmed.get(head.commit);
    if (own !== undefined) {
      this.confirmCommit(own, object!.version, sentAt, now);
    } else {
      this.host.onLost(head);
    }
  }

  /** The store holds a commit of this owner. */
  private confirmCommit(
    commit: Commit,
    version: number,
    sentAt: Milliseconds,
    now: Milliseconds,
  ): void {
    this.version = version;
    this.header = commit.header;
    this.confirmedAt = Math.max(this.confirmedAt, sentAt);
    this.committed = commit.sequence;
    const hasLater = [...this.unconfirmed.keys()].at(-1) !== commit.id;
    // The other writes expected an older version, so none of them can take effect any more.
    this.unconfirmed.clear();
    if (hasLater) {
      this.request(now);
    }
    const { shard, emit } = this.context;
    for (const segment of commit.dropped) {
      const key = getSegmentKey(shard, segment);
      emit({ kind: 'delete', key, expectedVersion: segment.version });
    }
    this.table.clearExpiredSegments(commit.dropped);
    this.host.onCommitted(commit, now);
  }
}
