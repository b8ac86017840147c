import type { Clock, Milliseconds } from '@apricotrill/utils';
import type { ClaimOptions } from '../ClaimOptions.js';
import type { ClaimMember } from '../claimTypes.js';
import type { ClaimMessage, ClaimResponse } from '../messages.js';
import { getOwnerOrder } from '../placement.js';
import { OwnerSearch } from './OwnerSearch.js';

type PeerCall = (
  peer: ClaimMember,
  message: ClaimMessage,
  timeout: Milliseconds,
) => Promise<ClaimResponse | undefined>;

/** Sends messages to the owners of shards, starting with the owner that this daemon found last. */
export class OwnerRouter {
  private readonly hints = new Map<number, ClaimMember>();

  constructor(
    private readonly clock: Clock,
    private readonly options: ClaimOptions,
    private readonly getMembers: () => readonly ClaimMember[],
    private readonly callPeer: PeerCall,
  ) {}

  /**
   * Sends a message to the current owner of a shard.
   *
   * @param deadline - when to stop searching
   * @param callTimeout - timeout of the call to one daemon
   */
  async send(
    shard: number,
    message: ClaimMessage,
    deadline: Milliseconds,
    callTimeout: Milliseconds,
  ): Promise<OwnerSearch> {
    const search = new OwnerSearch({
      clock: this.clock,
      deadline,
      callTimeout,
      retryDelay: this.options.retryDelay,
      getCandidates: () => this.getCandidates(shard),
      call: (peer, timeout) => this.callPeer(peer, message, timeout),
      onMiss: (peer) => this.clearHint(shard, peer),
      onFound: (peer) => this.hints.set(shard, peer),
    });
    await search.run();
    return search;
  }

  private getCandidates(shard: number): ClaimMember[] {
    const hint = this.hints.get(shard);
    const order = getOwnerOrder(shard, this.getMembers()).slice(0, this.options.candidates);
    return hint === undefined ? order : [hint, ...order];
  }

  private clearHint(shard: number, peer: ClaimMember): void {
    if (this.hints.get(shard)?.id === peer.id) {
      this.hints.delete(shard);
    }
  }
}
