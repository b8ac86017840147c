import type { Clock, Milliseconds } from '@apricotrill/utils';
import { overloadOptions } from './overloadOptions.js';

/** Tells other daemons whether this one has more work than its processor can do. */
export interface OverloadUpdate {
  kind: 'overload';
  isOverloaded: boolean;
}

/** Dependencies of {@link OverloadGuard}. */
export interface OverloadGuardParts {
  clock: Clock;
  /** Calls back after one complete iteration of the event loop. */
  afterIteration: (callback: () => void) => void;
  /** Number of other daemons that are known. */
  countPeers: () => number;
  /** Called when the state changes, with the duration of the last iteration of the event loop. */
  onChanged: (isOverloaded: boolean, iteration: Milliseconds) => void;
}

/**
 * Refuses new connections while the event loop has more work than it can do in time, so that their
 * callers try another daemon at once. A load balancer may hand most connections to one daemon while
 * the others are idle; requests that it has read can no longer move.
 *
 * Nothing is refused while half of the other daemons are overloaded as well: callers would find none.
 */
export class OverloadGuard {
  private isOverloaded = false;

  private isMeasuring = false;

  /** Number of consecutive measurements that exceeded the limit. */
  private exceeded = 0;

  /** Until when each overloaded peer counts as such without a further update. */
  private readonly overloadedPeers = new Map<string, Milliseconds>();

  constructor(private readonly parts: OverloadGuardParts) {}

  /** Decides on a new connection, and measures the event loop. @returns whether to refuse it */
  shouldRefuse(): boolean {
    this.measure();
    return this.isOverloaded && this.haveOthersRoom();
  }

  /** Records what another daemon tells about itself. */
  recordPeer(peer: string, { isOverloaded }: OverloadUpdate): void {
    if (isOverloaded) {
      this.overloadedPeers.set(peer, this.parts.clock.now() + overloadOptions.peerExpiry);
    } else {
      this.overloadedPeers.delete(peer);
    }
  }

  /** Returns what each regular message repeats, since datagrams can be lost. */
  getPeriodicUpdates(): OverloadUpdate[] {
    return this.isOverloaded ? [{ kind: 'overload', isOverloaded: true }] : [];
  }

  private haveOthersRoom(): boolean {
    const now = this.parts.clock.now();
    const peers = this.parts.countPeers();
    const overloaded = [...this.overloadedPeers.values()].filter((until) => until > now).length;
    return overloaded < peers / 2;
  }

  private measure(): void {
    if (this.isMeasuring) {
      return;
    }
    const { clock, afterIteration } = this.parts;
    const startedAt = clock.now();
    this.isMeasuring = true;
    afterIteration(() => {
      this.isMeasuring = false;
      this.recordIteration(clock.now() - startedAt);
    });
  }

  private recordIteration(iteration: Milliseconds): void {
    const { maxIteration, recoveredIteration, requiredMeasurements } = overloadOptions;
    this.exceeded = iteration >= maxIteration ? this.exceeded + 1 : 0;
    if (!this.isOverloaded && this.exceeded >= requiredMeasurements) {
      this.setOverloaded(true, iteration);
    } else if (this.isOverloaded && iteration <= recoveredIteration) {
      this.setOverloaded(false, iteration);
    }
  }

  private setOverloaded(isOverloaded: boolean, iteration: Milliseconds): void {
    this.isOverloaded = isOverloaded;
    this.parts.onChanged(isOverloaded, iteration);
  }
}
