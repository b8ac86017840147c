import type { Milliseconds } from '@apricotrill/utils';
import type { ClaimMember } from '../claimTypes.js';
import type { ClaimMutation, ClaimResponse } from '../messages.js';
import { Backoff } from './Backoff.js';
import type { ShardContext } from './shardMessages.js';

interface Asked {
  id: number;
  upTo: number;
}

/**
 * The owner's line to its epoch's witness: hands it the mutations the store does not have yet, in
 * order and without gaps, one call at a time. A mutation counts as witnessed once the witness
 * remembers it and all before it.
 */
export class WitnessLink {
  /** The last mutation the witness is known to remember. */
  witnessed: number;

  /** The witness no longer serves this epoch: it restarted, or a challenger sealed the epoch. */
  isRefused = false;

  private log: ClaimMutation[] = [];

  private asked: Asked | undefined;

  private readonly backoff: Backoff;

  constructor(
    private readonly context: ShardContext,
    readonly epoch: number,
    readonly witness: ClaimMember | undefined,
    private committed: number,
  ) {
    this.witnessed = committed;
    const { retryDelay, retryDelayLimit } = context.options;
    this.backoff = new Backoff(retryDelay, retryDelayLimit);
  }

  get isUsable(): boolean {
    return this.witness !== undefined && !this.isRefused;
  }

  /** Usable and, as far as we know, answering. */
  get isAnswering(): boolean {
    return this.isUsable && !this.backoff.isFailing;
  }

  get hasWork(): boolean {
    return (this.log.at(-1)?.sequence ?? 0) > this.witnessed;
  }

  get retryAt(): Milliseconds {
    return this.backoff.due;
  }

  get isWaiting(): boolean {
    return this.asked !== undefined;
  }

  record(mutation: ClaimMutation): void {
    this.log.push(mutation);
  }

  /** The mutations the store does not have, for a challenger or for the witness of the next epoch. */
  getLog(): ClaimMutation[] {
    return [...this.log];
  }

  /** The store has everything up to a mutation: nobody needs it from here any more. */
  forgetUpTo(committed: number): void {
    this.committed = committed;
    this.log = this.log.filter(({ sequence }) => sequence > committed);
  }

  send(now: Milliseconds): void {
    if (!this.isUsable || this.asked !== undefined || now < this.backoff.due) {
      return;
    }
    const mutations = this.log.filter(({ sequence }) => sequence > this.witnessed);
    const last = mutations.at(-1);
    if (last === undefined) {
      return;
    }
    const { shard, createId, emit } = this.context;
    this.asked = { id: createId(), upTo: last.sequence };
    const { epoch, committed } = this;
    const { incarnation } = this.witness!;
    const message = { kind: 'remember' as const, shard, epoch, incarnation, committed, mutations };
    emit({ kind: 'call-peer', id: this.asked.id, peer: this.witness!, message });
  }

  /**
   * @param isTrusted - whether the owner may still act on its witness's word
   * @returns whether the reply was for this line
   */
  onReply(
    id: number,
    reply: ClaimResponse | undefined,
    isTrusted: boolean,
    now: Milliseconds,
  ): boolean {
    if (this.asked?.id !== id) {
      return false;
    }
    const { upTo } = this.asked;
    this.asked = undefined;
    if (reply?.kind === 'remembered') {
      this.backoff.succeed();
      this.witnessed = isTrusted ? Math.max(this.witnessed, upTo) : this.witnessed;
    } else if (reply?.kind === 'gone' || reply?.kind === 'epoch-sealed') {
      this.isRefused = true;
    } else {
      this.backoff.fail(now);
    }
    return true;
  }
}
