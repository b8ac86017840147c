import type { Milliseconds } from '@apricotrill/utils';
import type { ClaimMember } from '../claimTypes.js';
import type { ClaimMutation, ClaimResponse } from '../messages.js';
import { Backoff } from './Backoff.js';
import type { ShardContext } from './shardMessages.js';

interface InFlightCall {
  id: number;
  upTo: number;
}

/**
 * Replicates the mutations that the store does not have yet from the owner to the witness of its
 * epoch: in order, without gaps, and one call at a time. A mutation counts as witnessed once the
 * witness remembers it and all earlier ones.
 */
export class WitnessReplicator {
  /** The last mutation that the witness is known to remember. */
  witnessed: number;

  /**
   * The witness no longer serves this epoch: it has restarted, or a new owner has sealed the epoch.
   */
  isRefused = false;

  private log: ClaimMutation[] = [];

  private inFlight: InFlightCall | undefined;

  private readonly backoff: Backoff;

  constructor(
    private readonly context: ShardContext,
    readonly epoch: number,
    readonly witness: ClaimMember | undefined,
    private committed: number,
  ) {
    this.witnessed = committed;
    const { retryDelay, maxRetryDelay } = context.options;
    this.backoff = new Backoff(retryDelay, maxRetryDelay);
  }

  get isUsable(): boolean {
    return this.witness !== undefined && !this.isRefused;
  }

  /** Usable and, as far as is known, responding. */
  get isResponding(): boolean {
    return this.isUsable && !this.backoff.isFailing;
  }

  get hasUnwitnessedMutations(): boolean {
    return (this.log.at(-1)?.sequence ?? 0) > this.witnessed;
  }

  get retryAt(): Milliseconds {
    return this.backoff.nextAttemptAt;
  }

  get hasCallInFlight(): boolean {
    return this.inFlight !== undefined;
  }

  record(mutation: ClaimMutation): void {
    this.log.push(mutation);
  }

  /**
   * The mutations that the store does not have, for a new owner or for the witness of the next
   * epoch.
   */
  getUncommittedMutations(): ClaimMutation[] {
    return [...this.log];
  }

  /** The store has all mutations up to this one, so they are no longer needed here. */
  discardUpTo(committed: number): void {
    this.committed = committed;
    this.log = this.log.filter(({ sequence }) => sequence > committed);
  }

  send(now: Milliseconds): void {
    if (!this.isUsable || this.inFlight !== undefined || now < this.backoff.nextAttemptAt) {
      return;
    }
    const mutations = this.log.filter(({ sequence }) => sequence > this.witnessed);
    const last = mutations.at(-1);
    if (last === undefined) {
      return;
    }
    const { shard, createId, emit } = this.context;
    this.inFlight = { id: createId(), upTo: last.sequence };
    const { epoch, committed } = this;
    const { incarnation } = this.witness!;
    const message = { kind: 'remember' as const, shard, epoch, incarnation, committed, mutations };
    emit({ kind: 'call-peer', id: this.inFlight.id, peer: this.witness!, message });
  }

  /**
   * @param isWitnessTrusted - whether the owner may still rely on its witness alone
   * @returns whether the response belonged to a call of this replicator
   */
  handleResponse(
    id: number,
    response: ClaimResponse | undefined,
    isWitnessTrusted: boolean,
    now: Milliseconds,
  ): boolean {
    if (this.inFlight?.id !== id) {
      return false;
    }
    const { upTo } = this.inFlight;
    this.inFlight = undefined;
    if (response?.kind === 'remembered') {
      this.backoff.recordSuccess();
      this.witnessed = isWitnessTrusted ? Math.max(this.witnessed, upTo) : this.witnessed;
    } else if (response?.kind === 'gone' || response?.kind === 'epoch-sealed') {
      this.isRefused = true;
    } else {
      this.backoff.recordFailure(now);
    }
    return true;
  }
}
