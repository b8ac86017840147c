import type { StoredObject } from '@apricotrill/store';
import type { Milliseconds } from '@apricotrill/utils';
import type { ClaimMember } from '../claimTypes.js';
import { getHeadKey, getSegmentKey, parseHead } from '../ShardHead.js';
import type { SegmentReference, ShardHead } from '../ShardHead.js';
import { Backoff } from './Backoff.js';
import { CommitPace } from './CommitRateLimiter.js';
import { NO_ANSWER } from './shardMessages.js';
import type { HeadRead, ShardContext, WriteResult } from './shardMessages.js';
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
export interface CommitSource {
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
  provedAt: Milliseconds;

  committed: number;

  /** What the next commit says of the shard. */
  wanted: CommitHeader;

  private pending: Pending | undefined;

  /** Writes that may have taken effect, by commit id, with the one in flight. */
  private readonly unconfirmed = new Map<string, Commit>();

  private mustReadBack = false;

  private readonly backoff: Backoff;

  private readonly pace: CommitPace;

  constructor(
    private readonly context: ShardContext,
    private readonly table: ShardTable,
    private readonly source: CommitSource,
    /** What the store is known to say. */
    private header: CommitHeader,
    private version: number,
    start: { sequence: number; provedAt: Milliseconds },
  ) {
    this.wanted = header;
    this.committed = start.sequence;
    this.provedAt = start.provedAt;
    this.pace = new CommitPace(context.options);
    this.backoff = new Backoff(context.options.retryDelay, context.options.retryDelayLimit);
  }

  /** The last call gave no answer. */
  get isUnanswered(): boolean {
    return this.backoff.isFailing;
  }

  /** The store gave no answer to the look-up after a lost answer either. */
  get isDown(): boolean {
    return this.backoff.isDown;
  }

  /**
   * Whether the witness named by the confirmed header may be relied on: no write that names
   * another one may have taken effect, and the store showed us as the owner not too long ago. A new
   * owner that cannot reach the witness counts on the second.
   */
  isTrusted(now: Milliseconds): boolean {
    const isHeaderSure = [...this.unconfirmed.values()].every(
      ({ header }) => header.epoch === this.header.epoch && !header.clean,
    );
    return isHeaderSure && now - this.provedAt <= this.context.options.witnessSpan;
  }

  /** Asks for a commit that starts by a time. */
  request(at: Milliseconds): void {
    this.pace.request(at);
  }

  getNextWake(): Milliseconds {
    if (this.pending !== undefined) {
      return Number.POSITIVE_INFINITY;
    }
    if (this.mustReadBack) {
      return this.backoff.due;
    }
    return Math.min(this.pace.due, this.provedAt + this.context.options.verifyInterval);
  }

  step(now: Milliseconds): void {
    if (this.pending !== undefined || now < this.getNextWake()) {
      return;
    }
    if (!this.mustReadBack && now >= this.pace.due) {
      this.write(now);
    } else {
      this.pending = { kind: 'read', id: this.context.createId(), sentAt: now };
      this.context.emit({ kind: 'read-head', id: this.pending.id });
    }
  }

  /** @returns whether the result was for this loop */
  onRead(id: number, result: HeadRead, now: Milliseconds): boolean {
    if (this.pending?.kind !== 'read' || this.pending.id !== id) {
      return false;
    }
    const { sentAt } = this.pending;
    this.pending = undefined;
    if (result === NO_ANSWER) {
      this.onNoAnswer(now);
    } else {
      this.onAnswer();
      this.onHead(result.object, sentAt, now);
    }
    return true;
  }

  /** @returns whether the result was for this loop */
  onWritten(id: number, result: WriteResult, now: Milliseconds): boolean {
    const { pending } = this;
    if (pending === undefined || pending.kind === 'read' || pending.id !== id) {
      return false;
    }
    this.pending = undefined;
    if (result === NO_ANSWER) {
      this.onNoAnswer(now);
      return true;
    }
    this.onAnswer();
    if (pending.kind === 'segment') {
      this.onSegment(pending.number, pending.plan, result);
    } else if (result.kind === 'accepted') {
      this.adopt(pending.commit, result.version, pending.commit.sentAt, now);
    } else {
      this.onHead(result.current, pending.commit.sentAt, now);
    }
    return true;
  }

  private write(now: Milliseconds): void {
    const { rollSize, segmentSize } = this.context.options;
    this.table.expire(now);
    const plan =
      this.table.rollableSize > rollSize ? this.table.planSegment(segmentSize) : undefined;
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
      header: this.wanted,
      sequence: this.source.getSequence(),
      dropped: this.table.getExpiredSegments(),
      sentAt: now,
    };
    this.pace.start(now);
    this.unconfirmed.set(commit.id, commit);
    const value = JSON.stringify(this.source.createHead(commit.id, commit.header, now));
    const id = createId();
    this.pending = { kind: 'head', id, commit };
    emit({ kind: 'write', id, key: getHeadKey(shard), value, expectedVersion: this.version });
  }

  private getWriter(): string {
    const { self } = this.context;
    return `${self.id}.${self.incarnation}`;
  }

  private onNoAnswer(now: Milliseconds): void {
    if (!this.backoff.isFailing) {
      this.report('store-unavailable');
    }
    this.backoff.fail(now);
    this.mustReadBack = true;
  }

  private onAnswer(): void {
    if (this.backoff.isFailing) {
      this.report('store-answers');
    }
    this.backoff.succeed();
    this.mustReadBack = false;
  }

  private report(kind: 'store-unavailable' | 'store-answers'): void {
    const { shard, emit } = this.context;
    emit({ kind: 'decision', decision: { kind, shard, epoch: this.header.epoch } });
  }

  private onSegment(
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
    emit({ kind: 'decision', decision: { kind: 'segment-written', shard, epoch, ...sizes } });
  }

  /** The store showed the object at some moment after `sentAt`. */
  private onHead(object: StoredObject | undefined, sentAt: Milliseconds, now: Milliseconds): void {
    if (object?.version === this.version) {
      this.provedAt = Math.max(this.provedAt, sentAt);
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
      this.adopt(own, object!.version, sentAt, now);
    } else {
      this.source.onLost(head);
    }
  }

  /** A commit of ours is what the store says. */
  private adopt(commit: Commit, version: number, sentAt: Milliseconds, now: Milliseconds): void {
    this.version = version;
    this.header = commit.header;
    this.provedAt = Math.max(this.provedAt, sentAt);
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
    this.table.forgetExpired(commit.dropped);
    this.source.onCommitted(commit, now);
  }
}
