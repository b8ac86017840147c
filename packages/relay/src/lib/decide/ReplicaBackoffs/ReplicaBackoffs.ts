import type { Clock, Milliseconds } from '@apricotrill/utils';
import type { PlacementEffect, PlacementUpdate, SharedBackoff } from '../messages.js';

/** Bounds of the backoffs that replicas ask for. */
export const backoffOptions = {
  /** A longer backoff is shortened to this, since a wrong one would take a replica away for good. */
  maxSpan: 600_000 satisfies Milliseconds,
  /** The others are told of a longer backoff only if it ends this much later than the one they know. */
  minAnnouncedExtension: 500 satisfies Milliseconds,
  /** Backoffs per datagram that keep it below an MTU of 1,500 bytes. */
  maxPerDatagram: 24,
};

/** Dependencies of {@link ReplicaBackoffs}. */
export interface ReplicaBackoffsParts {
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
 * The replicas that asked for a backoff when they turned a request away.
 *
 * A replica asks the daemon whose request it turned away, which must send it nothing until the backoff
 * ends. The others would be turned away as well, so that they prefer other replicas meanwhile, but may
 * use it if there are none. Backoffs are kept independently of the replica list, from which entries can
 * disappear for a while.
 */
export class ReplicaBackoffs {
  /** Ends of the backoffs that this daemon was asked for, by replica. */
  private readonly ownEnds = new Map<string, Milliseconds>();

  /** Ends of the backoffs that other daemons were asked for, by replica. */
  private readonly peerEnds = new Map<string, Milliseconds>();

  constructor(private readonly parts: ReplicaBackoffsParts) {}

  /**
   * Records that a replica asked this daemon for a backoff. A further one can lengthen it, but not
   * shorten it.
   *
   * @param source - names the response, for the log
   */
  record(replica: string, span: Milliseconds, source: string): void {
    const { clock, emit } = this.parts;
    const now = clock.now();
    removeExpired(this.ownEnds, now);
    const previousEnd = this.ownEnds.get(replica);
    const end = now + Math.min(span, backoffOptions.maxSpan);
    if (end <= now || (previousEnd !== undefined && end <= previousEnd)) {
      return;
    }
    this.ownEnds.set(replica, end);
    emit({ kind: 'replica-backed-off', replica, span: end - now, source });
    if (previousEnd === undefined || end - previousEnd >= backoffOptions.minAnnouncedExtension) {
      const backoffs = [{ replica, remaining: end - now }];
      emit({ kind: 'share', update: { kind: 'backoffs', backoffs } });
    }
  }

  /** Records the backoffs that replicas asked another daemon for. */
  recordPeerBackoffs(backoffs: readonly SharedBackoff[]): void {
    const now = this.parts.clock.now();
    removeExpired(this.peerEnds, now);
    backoffs.forEach(({ replica, remaining }) => {
      const end = now + Math.min(remaining, backoffOptions.maxSpan);
      this.peerEnds.set(replica, Math.max(end, this.peerEnds.get(replica) ?? 0));
    });
  }

  /** Returns until when this daemon must send the replica nothing; undefined if it may send. */
  getEnd(replica: string): Milliseconds | undefined {
    const end = this.ownEnds.get(replica);
    return end !== undefined && end > this.parts.clock.now() ? end : undefined;
  }

  isBackedOff(replica: string): boolean {
    return this.getEnd(replica) !== undefined;
  }

  /** Whether another daemon was asked for a backoff, so that other replicas are preferred. */
  isSpared(replica: string): boolean {
    return (this.peerEnds.get(replica) ?? 0) > this.parts.clock.now();
  }

  /** The replicas that this daemon must send nothing to. */
  get backedOff(): string[] {
    return [...this.ownEnds.keys()].filter((replica) => this.isBackedOff(replica));
  }

  /** Returns what each regular message repeats, since datagrams can be lost. */
  getPeriodicUpdates(): PlacementUpdate[] {
    const now = this.parts.clock.now();
    removeExpired(this.ownEnds, now);
    const backoffs = [...this.ownEnds]
      .map(([replica, end]) => ({ replica, remaining: end - now }))
      .sort((left, right) => right.remaining - left.remaining)
      .slice(0, backoffOptions.maxPerDatagram);
    return backoffs.length === 0 ? [] : [{ kind: 'backoffs', backoffs }];
  }
}
