import type { Clock, Milliseconds } from '@apricotrill/utils';
import type { ClaimMember } from '../claimTypes.js';
import type { OwnerCall } from '../ClaimEvent.js';
import type { ClaimResponse } from '../messages.js';
import { delay } from './timing.js';

/** The response of the owner of a shard. */
export type OwnerSearchResponse = Exclude<ClaimResponse, { kind: 'not-owner' }>;

/** How a search reaches the daemons. */
export interface SearchSettings {
  clock: Clock;
  /** When the search ends. */
  deadline: Milliseconds;
  /** Timeout of the call to one daemon. */
  callTimeout: Milliseconds;
  /** The delay before the second round. It doubles with each round. */
  retryDelay: Milliseconds;
  /** The daemons to ask, the most likely owner first. */
  getCandidates: () => ClaimMember[];
  /** @returns undefined when the daemon did not respond in time */
  call: (peer: ClaimMember, timeout: Milliseconds) => Promise<ClaimResponse | undefined>;
  /** Called when a peer is not the owner or did not respond. */
  onMiss: (peer: ClaimMember) => void;
  onFound: (peer: ClaimMember) => void;
}

/**
 * One search for the owner of a shard. Asks the likely owners in turn, follows redirects, and
 * starts over after a delay while the shard is moving.
 */
export class OwnerSearch {
  response: OwnerSearchResponse | undefined;

  /** The calls made so far, in order. */
  readonly calls: OwnerCall[] = [];

  /** Some call had no response, so its message may have been processed. */
  isUncertain = false;

  private candidates: ClaimMember[] = [];

  private askedIds = new Set<string>();

  /** In this round, the preferred owner responded that it cannot take over the shard. */
  private hasNoOwner = false;

  private hasFailed = false;

  constructor(private readonly settings: SearchSettings) {}

  /** Asks until an owner responds, the deadline passes, or no daemon can become the owner. */
  async run(): Promise<void> {
    const { clock, deadline, retryDelay } = this.settings;
    for (let nextDelay = retryDelay; ; nextDelay *= 2) {
      // One round at a time: each learns from the redirects of the last.
      // eslint-disable-next-line no-await-in-loop
      await this.runRound();
      const isHopeless = this.hasNoOwner && !this.hasFailed;
      if (this.response !== undefined || isHopeless || clock.now() + nextDelay >= deadline) {
        return;
      }
      // eslint-disable-next-line no-await-in-loop
      await delay(clock, nextDelay);
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
        // One daemon at a time: two at once could both process the message.
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
