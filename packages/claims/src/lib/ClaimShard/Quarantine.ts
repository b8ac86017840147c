import type { Milliseconds } from '@apricotrill/utils';
import type { ClaimOptions } from '../ClaimOptions.js';
import type { ClaimMember } from '../claimTypes.js';
import type { ClaimMutation, ClaimResponse } from '../messages.js';
import { SealRole } from '../messages.js';
import type { Doubt } from '../ShardHead.js';
import type { ShardContext } from './shardMessages.js';

/**
 * How long a key may not be granted after a takeover that reached neither the old owner nor its
 * witness: they may both live and go on granting until the old owner's trust runs out, and what
 * was granted last is protected for one retention. The entry daemon may receive a grant as late as
 * its claim timeout.
 */
export function getDoubtSpan(options: ClaimOptions): Milliseconds {
  return options.witnessSpan + options.retention + options.claimTimeout;
}

/** The same once it is proved that the old epoch has ended. */
export function getEndedSpan(options: ClaimOptions): Milliseconds {
  return options.retention + options.claimTimeout;
}

/** A doubt that is cleared up, with the mutations the store did not have. */
export interface Clearance {
  doubt: Doubt;
  mutations: ClaimMutation[];
}

/**
 * The epochs whose memory-only grants are not known. While there are any, a key that the shard does
 * not remember may have been granted before, and is answered `unknown`. The old witness and the
 * old owner are asked again and again: a network that heals ends the quarantine at once.
 */
export class Quarantine {
  private readonly questions = new Map<number, Doubt>();

  private nextAsk: Milliseconds = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly context: ShardContext,
    private doubts: Doubt[],
  ) {}

  get isActive(): boolean {
    return this.doubts.length > 0;
  }

  getDoubts(): Doubt[] {
    return [...this.doubts];
  }

  getNextWake(): Milliseconds {
    return Math.min(...this.doubts.map(({ until }) => until), this.getAskTime());
  }

  /** @returns whether the last doubt expired */
  expire(now: Milliseconds): boolean {
    const before = this.doubts.length;
    this.doubts = this.doubts.filter(({ until }) => until > now);
    return before > 0 && this.doubts.length === 0;
  }

  ask(now: Milliseconds): void {
    if (now < this.getAskTime()) {
      return;
    }
    this.nextAsk = now + this.context.options.retryDelayLimit;
    for (const doubt of this.doubts) {
      this.askOne(doubt, doubt.witness, SealRole.Witness);
      this.askOne(doubt, doubt.owner, SealRole.Owner);
    }
  }

  /**
   * @returns nothing when the reply is not for the quarantine, or what it cleared up, if anything
   */
  onReply(
    id: number,
    reply: ClaimResponse | undefined,
    now: Milliseconds,
  ): { clearance: Clearance | undefined } | undefined {
    const doubt = this.questions.get(id);
    if (doubt === undefined) {
      return undefined;
    }
    this.questions.delete(id);
    if (!this.doubts.includes(doubt)) {
      return { clearance: undefined };
    }
    if (reply?.kind === 'gone') {
      // Either end of the old epoch is over, so nothing is granted in it from now on.
      doubt.until = Math.min(doubt.until, now + getEndedSpan(this.context.options));
    }
    if (reply?.kind !== 'sealed') {
      return { clearance: undefined };
    }
    this.doubts = this.doubts.filter((other) => other !== doubt);
    const mutations = reply.mutations.filter(({ sequence }) => sequence > doubt.sequence);
    return { clearance: { doubt, mutations } };
  }

  private getAskTime(): Milliseconds {
    const isIdle = this.doubts.length === 0 || this.questions.size > 0;
    return isIdle ? Number.POSITIVE_INFINITY : this.nextAsk;
  }

  private askOne(doubt: Doubt, peer: ClaimMember, role: SealRole): void {
    const { shard, createId, emit } = this.context;
    const id = createId();
    this.questions.set(id, doubt);
    const { epoch } = doubt;
    const { incarnation } = peer;
    emit({
      kind: 'call-peer',
      id,
      peer,
      message: { kind: 'seal', shard, epoch, role, incarnation },
    });
  }
}
