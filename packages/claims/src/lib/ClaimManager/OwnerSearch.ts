import type { Clock, Milliseconds } from '@apricotrill/utils';
import type { ClaimMember } from '../claimTypes.js';
import type { ClaimTry } from '../ClaimEvent.js';
import type { ClaimResponse } from '../messages.js';
import { delay } from './timing.js';

/** A reply of a shard's owner. */
export type OwnerReply = Exclude<ClaimResponse, { kind: 'not-owner' }>;

/** How a search looks at the daemons. */
export interface SearchSurroundings {
  clock: Clock;
  /** When the search ends. */
  until: Milliseconds;
  /** How long one daemon may take. */
  callTimeout: Milliseconds;
  /** The wait before the second round; it doubles with each. */
  retryDelay: Milliseconds;
  /** Whom to ask, the likeliest owner first. */
  getTargets: () => ClaimMember[];
  /** @returns undefined when the daemon gave no answer in time */
  call: (peer: ClaimMember, timeout: Milliseconds) => Promise<ClaimResponse | undefined>;
  /** The peer turned out not to be the owner, or not to answer. */
  onMiss: (peer: ClaimMember) => void;
  onFound: (peer: ClaimMember) => void;
}

/**
 * One search for a shard's owner: asks the likely ones in turn, follows redirects, and starts over
 * after a wait while the shard is on the move.
 */
export class OwnerSearch {
  reply: OwnerReply | undefined;

  /** The daemons asked so far, in order. */
  readonly tries: ClaimTry[] = [];

  /** Some call gave no answer: its message may have been acted on. */
  isUncertain = false;

  private targets: ClaimMember[] = [];

  private tried = new Set<string>();

  /** In this round the preferred daemon said that it cannot take the shard. */
  private hasNoOwner = false;

  private hasFailed = false;

  constructor(private readonly around: SearchSurroundings) {}

  /** Asks until an owner replies, the time is up, or nobody can become the owner. */
  async run(): Promise<void> {
    const { clock, until, retryDelay } = this.around;
    for (let wait = retryDelay; ; wait *= 2) {
      // One round after the other: each learns from the redirects of the last.
      // eslint-disable-next-line no-await-in-loop
      await this.runRound();
      const isHopeless = this.hasNoOwner && !this.hasFailed;
      if (this.reply !== undefined || isHopeless || clock.now() + wait >= until) {
        return;
      }
      // eslint-disable-next-line no-await-in-loop
      await delay(clock, wait);
    }
  }

  private async runRound(): Promise<void> {
    const { clock, until } = this.around;
    this.targets = this.around.getTargets();
    this.tried = new Set();
    this.hasNoOwner = false;
    this.hasFailed = false;
    while (this.targets.length > 0 && this.reply === undefined && clock.now() < until) {
      const peer = this.targets.shift()!;
      if (!this.tried.has(peer.id)) {
        this.tried.add(peer.id);
        // One daemon after the other: two at once could both act on the message.
        // eslint-disable-next-line no-await-in-loop
        await this.tryPeer(peer);
      }
    }
  }

  private async tryPeer(peer: ClaimMember): Promise<void> {
    const { clock, until, callTimeout } = this.around;
    const askedAt = clock.now();
    const reply = await this.around.call(peer, Math.min(callTimeout, until - askedAt));
    this.tries.push({
      peer: peer.id,
      reply: reply?.kind ?? 'none',
      at: askedAt,
      spent: clock.now() - askedAt,
    });
    if (reply !== undefined && reply.kind !== 'not-owner') {
      this.reply = reply;
      this.around.onFound(peer);
      return;
    }
    this.around.onMiss(peer);
    if (reply === undefined) {
      this.hasFailed = true;
      this.isUncertain = true;
    } else if (reply.owner === undefined) {
      this.hasNoOwner = true;
    } else {
      this.targets.unshift(reply.owner);
    }
  }
}
