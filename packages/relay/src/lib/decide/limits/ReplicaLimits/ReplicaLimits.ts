import { getHash } from '@apricotrill/utils';
import type { Clock, Milliseconds } from '@apricotrill/utils';
import type { Fleet } from '../../Fleet/Fleet.js';
import type { PlacementEffect, SharedLimit, PlacementUpdate, StatedLimit } from '../../messages.js';
import type { ReplicaState } from '../../ReplicaState/ReplicaState.js';
import { limitOptions } from '../limitOptions.js';
import { RateLimit } from '../RateLimit/RateLimit.js';

/** Dependencies of {@link ReplicaLimits}. */
export interface ReplicaLimitsParts {
  clock: Clock;
  emit: (effect: PlacementEffect) => void;
  fleet: Fleet;
  /** Returns the name of the replica's group, for which one daemon places all requests. */
  getGroup: (state: ReplicaState) => string | undefined;
}

/** The limit that a response states, if any, and when its request was sent. */
export interface ResponseLimit {
  replica: string;
  /** When the request was sent. */
  sentAt: Milliseconds;
  /** Undefined if the response states no limit. */
  limit: StatedLimit | undefined;
}

interface KnownLimit {
  rate: RateLimit;
  /** Time of the last response that stated the limit. */
  confirmedAt: Milliseconds;
  /** When this daemon last announced the limit to the others. */
  announcedAt: Milliseconds;
}

/**
 * Enforces the rate limits that replicas state in their responses across all daemons.
 *
 * Fixed shares per daemon would be wrong for uneven traffic, and counts shared between daemons arrive
 * late. Therefore only the placer of a group of replicas uses its limited replicas, on behalf of all
 * daemons. While any replica of a service is limited, the other daemons delegate placement to the
 * placer; if it does not respond, they choose among the replicas without a limit.
 */
export class ReplicaLimits {
  private readonly limits = new Map<string, KnownLimit>();

  /** When limits were lifted, by replica. */
  private readonly liftedAt = new Map<string, Milliseconds>();

  /** Last invalid limit logged for each replica, to avoid duplicate log lines. */
  private readonly invalidTexts = new Map<string, string>();

  constructor(private readonly parts: ReplicaLimitsParts) {}

  /** The replica's limit in requests per second; undefined if it has none. */
  getRate(replica: string): number | undefined {
    return this.limits.get(replica)?.rate.perSecond;
  }

  /** Current limits in requests per second, by replica. */
  getRates(): [string, number][] {
    return [...this.limits].map(([replica, { rate }]) => [replica, rate.perSecond]);
  }

  /** Whether this daemon may send a request to a replica now. */
  maySend(state: ReplicaState): boolean {
    const { id } = state.replica;
    const known = this.limits.get(id);
    if (known === undefined) {
      return true;
    }
    const now = this.parts.clock.now();
    return known.rate.hasToken(now) && (this.isSender(state) || this.isProbeDue(id, known, now));
  }

  /** Counts a request that this or another daemon sent to a replica. */
  recordSent(replica: string): void {
    this.limits.get(replica)?.rate.take(this.parts.clock.now());
  }

  /** Updates the limit of a replica from one of its responses. */
  recordResponse({ replica, sentAt, limit }: ResponseLimit): void {
    const now = this.parts.clock.now();
    const known = this.limits.get(replica);
    if (limit === undefined) {
      // A response to an earlier request may predate the limit.
      if (known !== undefined && sentAt > known.confirmedAt) {
        this.lift(replica, now);
        this.announce({ replica, perSecond: undefined, age: 0 });
      }
      return;
    }
    if (limit.kind === 'invalid') {
      this.reportInvalid(replica, limit.text);
      return;
    }
    const { perSecond } = limit;
    const isAnnounced =
      known !== undefined &&
      known.rate.perSecond === perSecond &&
      now - known.announcedAt < limitOptions.announcementPeriod;
    this.set(replica, perSecond, now);
    if (!isAnnounced) {
      this.limits.get(replica)!.announcedAt = now;
      this.announce({ replica, perSecond, age: 0 });
    }
  }

  /** Applies limits received from another daemon if they are newer. */
  applyPeerLimits(limits: readonly SharedLimit[]): void {
    const now = this.parts.clock.now();
    limits.forEach(({ replica, perSecond, age }) => {
      const at = now - age;
      const newest = this.limits.get(replica)?.confirmedAt ?? this.liftedAt.get(replica);
      if (newest !== undefined && newest >= at) {
        return;
      }
      if (perSecond === undefined) {
        this.lift(replica, at);
      } else {
        this.set(replica, perSecond, at);
      }
    });
  }

  /** Returns what each regular message repeats, since datagrams can be lost. */
  getPeriodicUpdates(): PlacementUpdate[] {
    const now = this.parts.clock.now();
    this.liftedAt.forEach((at, replica) => {
      if (now - at > limitOptions.liftedRetention) {
        this.liftedAt.delete(replica);
      }
    });
    const limits: SharedLimit[] = [
      ...[...this.limits].map(([replica, { rate, confirmedAt }]) => ({
        replica,
        perSecond: rate.perSecond,
        age: now - confirmedAt,
      })),
      ...[...this.liftedAt].map(([replica, at]) => ({
        replica,
        perSecond: undefined,
        age: now - at,
      })),
    ];
    limits.sort((left, right) => left.age - right.age);
    const repeated = limits.slice(0, limitOptions.maxPerDatagram);
    return repeated.length === 0 ? [] : [{ kind: 'limits', limits: repeated }];
  }

  /** Discards the limits of all other replicas. */
  retain(replicas: ReadonlySet<string>): void {
    [this.limits, this.liftedAt, this.invalidTexts].forEach((known) =>
      [...known.keys()]
        .filter((replica) => !replicas.has(replica))
        .forEach((replica) => known.delete(replica)),
    );
  }

  /** Whether this daemon is the one that sends to the replica while it is limited. */
  private isSender(state: ReplicaState): boolean {
    const { fleet, getGroup } = this.parts;
    const group = getGroup(state);
    return group !== undefined && fleet.self !== '' && fleet.getPlacers(group)[0] === fleet.self;
  }

  /** Whether the limit has been unconfirmed for so long that this daemon probes it with a request. */
  private isProbeDue(replica: string, { confirmedAt }: KnownLimit, now: Milliseconds): boolean {
    const delay = getHash(`${replica} ${this.parts.fleet.self}`) % limitOptions.probeJitter;
    return now - confirmedAt > limitOptions.confirmationTimeout + delay;
  }

  private set(replica: string, perSecond: number, at: Milliseconds): void {
    const { clock, emit } = this.parts;
    const now = clock.now();
    const known = this.limits.get(replica);
    this.liftedAt.delete(replica);
    if (known === undefined) {
      const rate = new RateLimit(perSecond, now);
      this.limits.set(replica, { rate, confirmedAt: at, announcedAt: Number.NEGATIVE_INFINITY });
    } else {
      known.confirmedAt = Math.max(known.confirmedAt, at);
    }
    const previous = known?.rate.perSecond;
    if (previous !== perSecond) {
      known?.rate.setRate(perSecond, now);
      emit({ kind: 'limited', replica, perSecond, previous });
    }
  }

  private lift(replica: string, at: Milliseconds): void {
    this.liftedAt.set(replica, at);
    if (this.limits.delete(replica)) {
      this.parts.emit({ kind: 'unlimited', replica });
    }
  }

  private reportInvalid(replica: string, text: string): void {
    if (this.invalidTexts.get(replica) !== text) {
      this.invalidTexts.set(replica, text);
      this.parts.emit({ kind: 'limit-refused', replica, text });
    }
  }

  private announce(limit: SharedLimit): void {
    this.parts.emit({ kind: 'share', update: { kind: 'limits', limits: [limit] } });
  }
}
