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

/** What a commit says of the shard besides its entries. */
export interface CommitHeader {
  epoch: number;
  witness?: ClaimMember;
  clean: boolean;
}

/** A head write of this owner. */
export interface Commit {
  id: string;
  header: CommitHeader;
  sequence: number;
  /** Expired segments it no longer lists. */
  dropped: SegmentReference[];
  sentAt: Milliseconds;
}

/** What the loop needs of the owner around it. */
export interface CommitLoopHost {
  /** The last mutation made. */
  getSequence(): number;
  createHead(commitId: string, header: CommitHeader, now: Milliseconds): ShardHead;
  /** A commit took effect. */
  onCommitted(commit: Commit, now: Milliseconds): void;
  /** The object is another owner's, who may have left it since. */
  onLost(head: ShardHead | undefined): void;
}

type Pending =
  | { kind: 'head'; id: number; commit: Commit }
  | { kind: 'segment'; id: number; number: number; plan: SegmentPlan }
  | { kind: 'read'; id: number; sentAt: Milliseconds };

/**
 * Group commit of one shard: one conditional write of the head at a time, holding every mutation
 * made so far, on average no more often than the commit interval. A write without an answer is
 * looked up by its commit id.
 */
export class CommitLoop {
  /** When the store last showed that the shard is ours: the moment that call was sent. */
  confirmedAt: Milliseconds;

  committed: number;

  /** What the next commit says of the shard. */
  nextHeader: CommitHeader;

  private pending: Pending | undefined;

  /** Writes that may have taken effect, by commit id, with the one in flight. */
  private readonly unconfirmed = new Map<string, Commit>();

  private mustReadBack = false;

  private readonly backoff: Backoff;

  private readonly rateLimiter: CommitRateLimiter;

  constructor(
    private readonly context: ShardContext,
    private readonly table: ShardTable,
    private readonly host: CommitLoopHost,
    /** What the store is known to say. */
    private header: CommitHeader,
    private version: number,
    start: { sequence: number; confirmedAt: Milliseconds },
  ) {
    this.nextHeader = header;
    this.committed = start.sequence;
    this.confirmedAt = start.confirmedAt;
    this.rateLimiter = new CommitRateLimiter(context.options);
    this.backoff = new Backoff(context.options.retryDelay, context.options.maxRetryDelay);
  }

  /** The last call gave no answer. */
  get isStoreUnresponsive(): boolean {
    return this.backoff.isFailing;
  }

  /** The store gave no answer to the look-up after a lost answer either. */
  get isStoreDown(): boolean {
    return this.backoff.hasRepeatedFailures;
  }

  /**
   * Whether the witness named by the confirmed header may be relied on: no write that names
   * another one may have taken effect, and the store showed us as the owner not too long ago. A new
   * owner that cannot reach the witness counts on the second.
   */
  isWitnessTrusted(now: Milliseconds): boolean {
    const isHeaderCertain = [...this.unconfirmed.values()].every(
      ({ header }) => header.epoch === this.header.epoch && !header.clean,
    );
    return isHeaderCertain && now - this.confirmedAt <= this.context.options.witnessTrustTimeout;
  }

  /** Asks for a commit that starts by a time. */
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
    emit({ kind: 'event', event: { kind, shard, epoch: this.header.epoch } });
  }

  private handleSegmentWritten(
    number: number,
    plan: SegmentPlan,
    result: Exclude<WriteResult, typeof NO_ANSWER>,
  ): void {
    if (result.kind === 'conflict') {
      // The name is taken, which only a repeated delivery of our own write explains: the next try
      // uses a new name, and what is left behind is removed at the next takeover.
      return;
    }
    const { version } = result;
    const reference = { writer: this.getWriter(), number, version, expires: plan.expires };
    this.table.finishSegment(plan, reference);
    const { shard, emit } = this.context;
    const { epoch } = this.header;
    const sizes = { entries: plan.names.length, size: plan.value.length };
    emit({ kind: 'event', event: { kind: 'segment-written', shard, epoch, ...sizes } });
  }

  /** The store showed the object at some moment after `sentAt`. */
  private handleHead(
    object: StoredObject | undefined,
    sentAt: Milliseconds,
    now: Milliseconds,
  ): void {
    if (object?.version === this.version) {
      this.confirmedAt = Math.max(this.confirmedAt, sentAt);
      if (this.unconfirmed.size > 0) {
        // It may still take effect later: keep its id, and write again on the same version, so that
        // only one of the two can.
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

  /** A commit of ours is what the store says. */
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
    // The others carried an older version: none of them can take effect any more.
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
