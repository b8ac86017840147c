import type { Clock, Milliseconds } from '@apricotrill/utils';
import { fragilityOptions } from '../fragilityOptions.js';

/** Dependencies of {@link SlotShares}. */
export interface SlotSharesParts {
  clock: Clock;
  /** Number of attempts that a daemon has in flight at a service. */
  countInFlight: (daemon: string, service: string) => number;
}

/** A request of a daemon for which there was no slot, and which is expected to be placed again soon. */
interface Claim {
  daemon: string;
  rank: number;
  at: Milliseconds;
}

/**
 * Divides the slots of fragile replicas between daemons, at the daemon that places for all of them.
 *
 * A daemon asks for a slot when one of its own attempts ends, so that it would always get the slot that it
 * has just freed, and a daemon that holds none would never get one. Therefore a free slot is kept for a
 * daemon that holds fewer slots and serves a smaller part of its requests, or whose request is more urgent,
 * until that daemon asks again.
 */
export class SlotShares {
  private readonly claims = new Map<string, Claim[]>();

  constructor(private readonly parts: SlotSharesParts) {}

  /** Whether a daemon may take a free slot of a service for a request of this rank. */
  mayTake(daemon: string, service: string, rank: number): boolean {
    const others = this.getClaims(service).filter((claim) => claim.daemon !== daemon);
    if (others.some((claim) => claim.rank < rank)) {
      return false;
    }
    const rivals = new Set(
      others.filter((claim) => claim.rank === rank).map((claim) => claim.daemon),
    );
    const { countInFlight } = this.parts;
    const own = this.getServedPart(daemon, service, 1);
    return [...rivals].every(
      (rival) =>
        countInFlight(rival, service) >= countInFlight(daemon, service) ||
        this.getServedPart(rival, service, 0) >= own,
    );
  }

  /** Records that a daemon got no slot for a request. */
  recordRefusal(daemon: string, service: string, rank: number): void {
    const claims = this.getClaims(service);
    claims.push({ daemon, rank, at: this.parts.clock.now() });
    this.claims.set(service, claims);
  }

  /** Records that a daemon got a slot for a request. */
  recordTaken(daemon: string, service: string): void {
    const claims = this.getClaims(service);
    const index = claims.findIndex((claim) => claim.daemon === daemon);
    if (index !== -1) {
      claims.splice(index, 1);
    }
    this.claims.set(service, claims);
  }

  /**
   * The part of a daemon's requests that have a slot.
   *
   * @param more - requests without a slot in addition to those that it has asked for
   */
  private getServedPart(daemon: string, service: string, more: number): number {
    const inFlight = this.parts.countInFlight(daemon, service);
    const claims = this.getClaims(service).filter((claim) => claim.daemon === daemon).length;
    return inFlight / (inFlight + claims + more);
  }

  private getClaims(service: string): Claim[] {
    const oldest = this.parts.clock.now() - fragilityOptions.claimSpan;
    return (this.claims.get(service) ?? []).filter(({ at }) => at > oldest);
  }
}
