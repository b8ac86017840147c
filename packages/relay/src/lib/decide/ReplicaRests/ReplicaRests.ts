import type { Clock, Milliseconds } from '@apricotrill/utils';
import type { PlacementEffect, PlacementUpdate, SharedRest } from '../messages.js';

/** Bounds of the rests that replicas ask for. */
export const restOptions = {
  /** A longer rest is shortened to this, since a wrong one would take a replica away for good. */
  maxSpan: 600_000 satisfies Milliseconds,
  /** The others are told of a longer rest only if it ends this much later than the one they know. */
  minAnnouncedExtension: 500 satisfies Milliseconds,
  /** Rests per datagram that keep it below an MTU of 1,500 bytes. */
  maxPerDatagram: 24,
};

/** Dependencies of {@link ReplicaRests}. */
export interface ReplicaRestsParts {
  clock: Clock;
  emit: (effect: PlacementEffect) => void;
}

/** Removes the entries whose time has passed. */
function removeExpired(ends: Map<string, Milliseconds>, now: Milliseconds): void {
  ends.forEach((end, id) => {
    if (end <= now) {
      ends.delete(id);
    }
  });
}

/**
 * The replicas that asked for a rest when they turned a request away.
 *
 * A replica asks the daemon whose request it turned away, which must send it nothing until the rest
 * ends. The others would be turned away as well, so that they prefer other replicas meanwhile, but may
 * use it if there are none. Rests are kept independently of the replica list, from which entries can
 * disappear for a while.
 */
export class ReplicaRests {
  /** Ends of the rests that this daemon was asked for, by replica. */
  private readonly ownEnds = new Map<string, Milliseconds>();

  /** Ends of the rests that other daemons were asked for, by replica. */
  private readonly peerEnds = new Map<string, Milliseconds>();

  constructor(private readonly parts: ReplicaRestsParts) {}

  /**
   * Records that a replica asked this daemon for a rest. A further request can lengthen a rest, but not
   * shorten it.
   *
   * @param source - names the response, for the log
   */
  record(replica: string, span: Milliseconds, source: string): void {
    const { clock, emit } = this.parts;
    const now = clock.now();
    removeExpired(this.ownEnds, now);
    const previousEnd = this.ownEnds.get(replica);
    const end = now + Math.min(span, restOptions.maxSpan);
    if (end <= now || (previousEnd !== undefined && end <= previousEnd)) {
      return;
    }
    this.ownEnds.set(replica, end);
    emit({ kind: 'replica-resting', replica, span: end - now, source });
    if (previousEnd === undefined || end - previousEnd >= restOptions.minAnnouncedExtension) {
      const rests = [{ replica, remaining: end - now }];
      emit({ kind: 'share', update: { kind: 'rests', rests } });
    }
  }

  /** Records the rests that replicas asked another daemon for. */
  recordPeerRests(rests: readonly SharedRest[]): void {
    const now = this.parts.clock.now();
    removeExpired(this.peerEnds, now);
    rests.forEach(({ replica, remaining }) => {
      const end = now + Math.min(remaining, restOptions.maxSpan);
      this.peerEnds.set(replica, Math.max(end, this.peerEnds.get(replica) ?? 0));
    });
  }

  /** Returns the end of the rest during which this daemon must send nothing; undefined if there is none. */
  getEnd(replica: string): Milliseconds | undefined {
    const end = this.ownEnds.get(replica);
    return end !== undefined && end > this.parts.clock.now() ? end : undefined;
  }

  isResting(replica: string): boolean {
    return this.getEnd(replica) !== undefined;
  }

  /** Whether another daemon was asked for a rest, so that other replicas are preferred. */
  isSpared(replica: string): boolean {
    return (this.peerEnds.get(replica) ?? 0) > this.parts.clock.now();
  }

  /** The replicas that this daemon must send nothing to. */
  get resting(): string[] {
    return [...this.ownEnds.keys()].filter((replica) => this.isResting(replica));
  }

  /** Returns what each regular message repeats, since datagrams can be lost. */
  getPeriodicUpdates(): PlacementUpdate[] {
    const now = this.parts.clock.now();
    removeExpired(this.ownEnds, now);
    const rests = [...this.ownEnds]
      .map(([replica, end]) => ({ replica, remaining: end - now }))
      .sort((left, right) => right.remaining - left.remaining)
      .slice(0, restOptions.maxPerDatagram);
    return rests.length === 0 ? [] : [{ kind: 'rests', rests }];
  }
}
