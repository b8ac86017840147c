import type { Milliseconds } from '@apricotrill/utils';
import type { ClaimOptions } from '../ClaimOptions.js';
import type { ClaimMember } from '../claimTypes.js';
import type { ClaimMutation, ClaimResponse } from '../messages.js';
import { SealRole } from '../messages.js';
import type { UnresolvedEpoch } from '../ShardHead.js';
import type { ShardContext } from './shardMessages.js';

/**
 * How long unknown keys are not granted after a takeover that reached neither the old owner nor its
 * witness. Both may be alive and go on granting until the old owner no longer trusts its witness.
 * The last grant is then protected for one retention period, and the entry daemon may receive it as
 * late as the claim timeout allows.
 */
export function getQuarantineDuration(options: ClaimOptions): Milliseconds {
  return options.witnessTrustTimeout + options.retention + options.claimTimeout;
}

/** How long unknown keys are not granted once it is proved that the old epoch has ended. */
export function getEndedEpochQuarantineDuration(options: ClaimOptions): Milliseconds {
  return options.retention + options.claimTimeout;
}

/**
 * An epoch that has been sealed since the takeover, with the mutations that the store did not have.
 */
export interface ResolvedEpoch {
  epoch: UnresolvedEpoch;
  mutations: ClaimMutation[];
}

/**
 * The epochs of previous owners whose grants without the store are not known. While there are any,
 * a key that the shard does not remember may have been granted before, and claims for it are
 * answered `unknown`. The old witness and the old owner are asked repeatedly, so that the
 * quarantine ends as soon as either can be reached.
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

  /** @returns whether the last unresolved epoch has just expired */
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
   * @returns undefined when the response is not for the quarantine; otherwise the epoch that it
   * resolved, if any
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
      // The owner or the witness of the old epoch has ended, so nothing is granted in it from now
      // on.
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
    return { resolved: { epoch: unresolved, mutations } };
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
