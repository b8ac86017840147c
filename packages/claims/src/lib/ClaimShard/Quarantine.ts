import type { Milliseconds } from '@apricotrill/utils';
import type { ClaimOptions } from '../ClaimOptions.js';
import type { ClaimMember } from '../claimTypes.js';
import type { ClaimMutation, ClaimResponse } from '../messages.js';
import { SealRole } from '../messages.js';
import type { UnresolvedEpoch } from '../ShardHead.js';
import type { ShardContext } from './shardMessages.js';

/**
 * How long a key may not be granted after a takeover that reached neither the old owner nor its
 * witness: they may both live and go on granting until the old owner's trust runs out, and what
 * was granted last is protected for one retention. The entry daemon may receive a grant as late as
 * its claim timeout.
 */
export function getQuarantineDuration(options: ClaimOptions): Milliseconds {
  return options.witnessTrustTimeout + options.retention + options.claimTimeout;
}

/** The same once it is proved that the old epoch has ended. */
export function getEndedEpochQuarantineDuration(options: ClaimOptions): Milliseconds {
  return options.retention + options.claimTimeout;
}

/** A unresolved that is cleared up, with the mutations the store did not have. */
export interface ResolvedEpoch {
  unresolved: UnresolvedEpoch;
  mutations: ClaimMutation[];
}

/**
 * The epochs whose memory-only grants are not known. While there are any, a key that the shard does
 * not remember may have been granted before, and is answered `unknown`. The old witness and the
 * old owner are asked again and again: a network that heals ends the quarantine at once.
 */
export class Quarantine {
  private readonly pendingSeals = new Map<number, UnresolvedEpoch>();

  private nextSealAt: Milliseconds = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly context: ShardContext,
    private unresolvedEpochs: UnresolvedEpoch[],
  ) {}

  get isActive(): boolean {
    return this.unresolvedEpochs.length > 0;
  }

  getUnresolvedEpochs(): UnresolvedEpoch[] {
    return [...this.unresolvedEpochs];
  }

  getNextWakeTime(): Milliseconds {
    return Math.min(...this.unresolvedEpochs.map(({ until }) => until), this.getNextSealTime());
  }

  /** @returns whether the last unresolved expired */
  expire(now: Milliseconds): boolean {
    const before = this.unresolvedEpochs.length;
    this.unresolvedEpochs = this.unresolvedEpochs.filter(({ until }) => until > now);
    return before > 0 && this.unresolvedEpochs.length === 0;
  }

  requestSeals(now: Milliseconds): void {
    if (now < this.getNextSealTime()) {
      return;
    }
    this.nextSealAt = now + this.context.options.maxRetryDelay;
    for (const unresolved of this.unresolvedEpochs) {
      this.requestSeal(unresolved, unresolved.witness, SealRole.Witness);
      this.requestSeal(unresolved, unresolved.owner, SealRole.Owner);
    }
  }

  /**
   * @returns nothing when the response is not for the quarantine, or what it cleared up, if anything
   */
  handleResponse(
    id: number,
    response: ClaimResponse | undefined,
    now: Milliseconds,
  ): { resolved: ResolvedEpoch | undefined } | undefined {
    const unresolved = this.pendingSeals.get(id);
    if (unresolved === undefined) {
      return undefined;
    }
    this.pendingSeals.delete(id);
    if (!this.unresolvedEpochs.includes(unresolved)) {
      return { resolved: undefined };
    }
    if (response?.kind === 'gone') {
      // Either end of the old epoch is over, so nothing is granted in it from now on.
      unresolved.until = Math.min(
        unresolved.until,
        now + getEndedEpochQuarantineDuration(this.context.options),
      );
    }
    if (response?.kind !== 'sealed') {
      return { resolved: undefined };
    }
    this.unresolvedEpochs = this.unresolvedEpochs.filter((other) => other !== unresolved);
    const mutations = response.mutations.filter(({ sequence }) => sequence > unresolved.sequence);
    return { resolved: { unresolved, mutations } };
  }

  private getNextSealTime(): Milliseconds {
    const isIdle = this.unresolvedEpochs.length === 0 || this.pendingSeals.size > 0;
    return isIdle ? Number.POSITIVE_INFINITY : this.nextSealAt;
  }

  private requestSeal(unresolved: UnresolvedEpoch, peer: ClaimMember, role: SealRole): void {
    const { shard, createId, emit } = this.context;
    const id = createId();
    this.pendingSeals.set(id, unresolved);
    const { epoch } = unresolved;
    const { incarnation } = peer;
    emit({
      kind: 'call-peer',
      id,
      peer,
      message: { kind: 'seal', shard, epoch, role, incarnation },
    });
  }
}
