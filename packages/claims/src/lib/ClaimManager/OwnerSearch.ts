import type { Clock, Milliseconds } from '@apricotrill/utils';
import type { ClaimMember } from '../claimTypes.js';
import type { OwnerCall } from '../ClaimEvent.js';
import type { ClaimResponse } from '../messages.js';
import { delay } from './timing.js';

/** A response of a shard's owner. */
export type OwnerSearchResponse = Exclude<ClaimResponse, { kind: 'not-owner' }>;

/** How a search looks at the daemons. */
export interface SearchSettings {
  clock: Clock;
  /** When the search ends. */
  deadline: Milliseconds;
  /** How long one daemon may take. */
  callTimeout: Milliseconds;
  /** The wait before the second round; it doubles with each. */
  retryDelay: Milliseconds;
  /** Whom to ask, the likeliest owner first. */
  getCandidates: () => ClaimMember[];
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
  response: OwnerSearchResponse | undefined;

  /** The daemons asked so far, in order. */
  readonly calls: OwnerCall[] = [];

  /** Some call gave no answer: its message may have been acted on. */
  isUncertain = false;

  private candidates: ClaimMember[] = [];

  private askedIds = new Set<string>();

  /** In this round the preferred daemon said that it cannot take the shard. */
  private hasNoOwner = false;

  private hasFailed = false;

  constructor(private readonly settings: SearchSettings) {}

  /** Asks until an owner responses, the time is up, or nobody can become the owner. */
  async run(): Promise<void> {
    const { clock, deadline, retryDelay } = this.settings;
    for (let wait = retryDelay; ; wait *= 2) {
      // One round after the other: each learns from the redirects of the last.
      // eslint-disable-next-line no-await-in-loop
      await this.runRound();
      const isHopeless = this.hasNoOwner && !this.hasFailed;
      if (this.response !== undefined || isHopeless || clock.now() + wait >= deadline) {
        return;
      }
      // eslint-disable-next-line no-await-in-loop
      await delay(clock, wait);
    }
  }

  private async runRound(): Promise<void> {
    const { clock, deadline } = this.settings;
    this.candidates = this.settings.getCandidates();
    this.askedIds = new Set();
    this.hasNoOwner = false;
    this.hasFailed = false;
    while (this.candidates.length > 0 && this.response === undefined && clock.now() < deadline) {
      const peer = this.candidates.shift()!;
      if (!this.askedIds.has(peer.id)) {
        this.askedIds.add(peer.id);
        // One daemon after the other: two at once could both act on the message.
        // eslint-disable-next-line no-await-in-loop
        await this.askPeer(peer);
      }
    }
  }

  private async askPeer(peer: ClaimMember): Promise<void> {
    const { clock, deadline, callTimeout } = this.settings;
    const sentAt = clock.now();
    const response = await this.settings.call(peer, Math.min(callTimeout, deadline - sentAt));
    this.calls.push({
      peer: peer.id,
      reply: response?.kind ?? 'none',
      at: sentAt,
      spent: clock.now() - sentAt,
    });
    if (response !== undefined && response.kind !== 'not-owner') {
      this.response = response;
      this.settings.onFound(peer);
      return;
    }
    this.settings.onMiss(peer);
    if (response === undefined) {
      this.hasFailed = true;
      this.isUncertain = true;
    } else if (response.owner === undefined) {
      this.hasNoOwner = true;
    } else {
      this.candidates.unshift(response.owner);
    }
  }
}
