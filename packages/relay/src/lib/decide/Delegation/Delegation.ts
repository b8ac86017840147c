import type { Clock, Milliseconds, Timer } from '@apricotrill/utils';
import type { AttemptKeys } from '../AttemptKeys.js';
import { fragilityOptions } from '../fragility/fragilityOptions.js';
import type { Fleet } from '../Fleet/Fleet.js';
import type { ReplicaGroup } from '../groups/getReplicaGroups.js';
import { createClaim, createQuery } from '../admission/createClaimedQuery.js';
import { getQueuedTimeout } from '../admission/getQueuedTimeout.js';
import type { PlacementEffect, PlacementQuery, PlacementResponse } from '../messages.js';
import type { PlacementOptions } from '../placementOptions.js';
import type { ReplicaBackoffs } from '../ReplicaBackoffs/ReplicaBackoffs.js';
import type { ReplicaRegistry } from '../ReplicaRegistry/ReplicaRegistry.js';
import { isOnTimeAt } from '../isOnTimeAt.js';
import type { RequestRecord } from '../RequestRecord.js';

/** Dependencies of {@link Delegation}. */
export interface DelegationParts {
  clock: Clock;
  emit: (effect: PlacementEffect) => void;
  options: PlacementOptions;
  fleet: Fleet;
  registry: ReplicaRegistry;
  keys: AttemptKeys;
  backoffs: Pick<ReplicaBackoffs, 'backedOff'>;
  /** Called when a placer did not respond in time, or is gone. */
  onTimeout: (record: RequestRecord) => void;
  /** Called when a request has become late while its placer does not respond and no other may decide. */
  onOverdue: (record: RequestRecord) => void;
}

/** A query that awaits the response of a placer. */
export interface PendingQuery {
  record: RequestRecord;
  placer: string;
  sentAt: Milliseconds;
  timer: Timer;
  query: PlacementQuery;
}

/**
 * Delegates the choice of a replica to a placer, and tracks the pending queries.
 *
 * With some 65 daemons in front of 42 engines, each daemon receiving five requests per second, a
 * daemon alone sees one request in 65. If all daemons announced every request to each other, they
 * would spend their time on processing updates, which would still arrive a second late. Engines that
 * seem idle would have a queue, and all estimates learned from waits would be wrong. Therefore one
 * daemon, the placer, chooses the replica for all requests of a group of engines and knows every
 * attempt in flight there. If it does not respond, the deputy is queried; if that does not respond
 * either, the daemon chooses a replica from its own state.
 */
export class Delegation {
  private readonly pending = new Map<string, PendingQuery>();

  /** Placers that did not respond: until when they are not queried, and the length of that backoff. */
  private readonly unresponsive = new Map<string, { until: Milliseconds; span: Milliseconds }>();

  /** When each placer was first queried after its last response. */
  private readonly unansweredSince = new Map<string, Milliseconds>();

  /** When each placer last responded. */
  private readonly respondedAt = new Map<string, Milliseconds>();

  constructor(private readonly parts: DelegationParts) {}

  /** Number of pending queries. */
  get size(): number {
    return this.pending.size;
  }

  /**
   * Returns the first placer of a group that is neither in backoff nor already queried for the
   * request: possibly this daemon itself, undefined if none is left.
   */
  findPlacer(record: RequestRecord, { name }: ReplicaGroup): string | undefined {
    const now = this.parts.clock.now();
    return this.parts.fleet
      .getPlacers(name)
      .find(
        (daemon) =>
          !record.queriedPlacers.has(daemon) && now >= (this.unresponsive.get(daemon)?.until ?? 0),
      );
  }

  /** @param group - the group that a request under admission control is to go to; undefined for others */
  sendQuery(record: RequestRecord, placer: string, group?: string): void {
    const { clock, keys, options, backoffs } = this.parts;
    const { availabilityZone } = options;
    const inputs = { key: keys.next(), availabilityZone, backedOff: backoffs.backedOff };
    const query = createQuery(record, inputs);
    if (group !== undefined) {
      query.claim = createClaim(record, group, clock.now());
    }
    record.queriedPlacers.add(placer);
    this.send({ record, placer, query });
  }

  /**
   * Returns the query that a response belongs to. If it is no longer pending, releases the placement
   * and returns undefined.
   */
  handleResponse(placer: string, response: PlacementResponse): PendingQuery | undefined {
    const { key, placement, queued } = response;
    this.unresponsive.delete(placer);
    this.unansweredSince.delete(placer);
    this.respondedAt.set(placer, this.parts.clock.now());
    const query = this.pending.get(key);
    if (query?.placer !== placer) {
      const isUnused = placement !== undefined || queued !== undefined;
      if (isUnused && !this.isInFlight(key)) {
        this.parts.emit({ kind: 'response-unused', peer: placer, key });
        this.releasePlacement(placer, key);
      }
      return undefined;
    }
    query.timer.cancel();
    if (queued !== undefined) {
      this.waitForPlacer(query, queued.expectedWait);
      return undefined;
    }
    this.pending.delete(key);
    return query;
  }

  /** Fails the queries of requests that wait at placers that are gone. */
  handleFleetChange(): void {
    const { fleet, onTimeout } = this.parts;
    const gone = [...this.pending.values()].filter(
      ({ query, placer }) => query.claim !== undefined && !fleet.members.includes(placer),
    );
    gone.forEach(({ record, placer, query, timer }) => {
      timer.cancel();
      this.pending.delete(query.key);
      this.releasePlacement(placer, query.key);
      onTimeout(record);
    });
  }

  /** Notifies a placer that the attempt it counts as in flight will not be sent. */
  releasePlacement(placer: string, key: string): void {
    // Requests may wait there for the slot, or this one may be given a slot that it does not use.
    const isUrgent =
      this.parts.registry.allServices.some((service) => service.isFragile) || undefined;
    this.parts.emit({ kind: 'share', to: placer, update: { kind: 'ended', key, isUrgent } });
  }

  /** Cancels the pending query of a request that has ended. */
  cancelQueries(record: RequestRecord): void {
    [...this.pending]
      .filter(([, query]) => query.record === record)
      .forEach(([key, { placer, timer }]) => {
        timer.cancel();
        this.pending.delete(key);
        this.releasePlacement(placer, key);
      });
  }

  private send({ record, placer, query }: Omit<PendingQuery, 'sentAt' | 'timer'>): void {
    const { clock, emit, options } = this.parts;
    const { key } = query;
    const timer = clock.setTimer(options.askTimeout, () => this.handleTimeout(key));
    this.pending.set(key, { record, placer, sentAt: clock.now(), timer, query });
    if (!this.unansweredSince.has(placer)) {
      this.unansweredSince.set(placer, clock.now());
    }
    emit({ kind: 'share', to: placer, update: { kind: 'ask', query } });
  }

  /** Keeps a query that the placer has queued. Without a response in time, asks again with its key. */
  private waitForPlacer(pending: PendingQuery, expectedWait: Milliseconds): void {
    const { clock, emit, options } = this.parts;
    const { record, placer, query } = pending;
    const { id, arrivedAt, latencyTarget } = record.request;
    const waited = clock.now() - arrivedAt;
    emit({ kind: 'queued', id, key: query.key, placer, waited, expectedWait });
    const timeout = getQueuedTimeout(expectedWait, latencyTarget, options.askTimeout);
    const timer = clock.setTimer(timeout, () => {
      const claim = createClaim(record, query.claim?.group ?? '', clock.now());
      this.send({ record, placer, query: { ...query, claim } });
    });
    this.pending.set(query.key, { ...pending, timer });
  }

  /** Whether a request under admission control has an attempt with this key in flight. */
  private isInFlight(key: string): boolean {
    return this.parts.registry.allServices.some(
      (service) =>
        service.isPlacerControlled &&
        [...service.replicas.values()].some(({ running }) =>
          [...running].some((attempt) => attempt.isOwn && attempt.key === key),
        ),
    );
  }

  /** Doubles the backoff up to a maximum, since each query to a dead placer delays a request. */
  private getNextBackoff(last: Milliseconds | undefined): Milliseconds {
    const { silentPlacer, longestSilentPlacer } = this.parts.options;
    return last === undefined ? silentPlacer : Math.min(longestSilentPlacer, last * 2);
  }

  /**
   * Whether no other daemon may decide about a query yet. Two placers that give the slots of a fragile replica
   * at the same time would overfill it, so that the deputy is asked only after the placer has been silent for
   * a while.
   */
  private mustKeepPlacer({ record, placer, query }: PendingQuery): boolean {
    const { clock, fleet, registry } = this.parts;
    const service = registry.getService(record.request.service);
    const since = this.unansweredSince.get(placer) ?? clock.now();
    return (
      query.claim !== undefined &&
      service.isFragile &&
      fleet.members.includes(placer) &&
      clock.now() - since < fragilityOptions.takeoverDelay
    );
  }

  /** Sends a query again, unless its request is late by now. A placer decides about each key once. */
  private repeat({ record, placer, query }: PendingQuery): void {
    const { clock, onOverdue } = this.parts;
    const now = clock.now();
    if (!isOnTimeAt(record, now)) {
      onOverdue(record);
      return;
    }
    const claim = createClaim(record, query.claim!.group, now);
    this.send({ record, placer, query: { ...query, claim } });
  }

  private handleTimeout(key: string): void {
    const query = this.pending.get(key);
    if (query === undefined) {
      return;
    }
    const { clock, emit, onTimeout } = this.parts;
    if (this.mustKeepPlacer(query)) {
      this.repeat(query);
      return;
    }
    this.pending.delete(key);
    const last = this.unresponsive.get(query.placer);
    // Queries that were in flight together count as one failure.
    const isCounted = last !== undefined && query.sentAt < last.until;
    const span = isCounted ? last.span : this.getNextBackoff(last?.span);
    if (!isCounted) {
      this.unresponsive.set(query.placer, { until: clock.now() + span, span });
    }
    const respondedAt = this.respondedAt.get(query.placer);
    const lastResponseAge = respondedAt === undefined ? undefined : clock.now() - respondedAt;
    const pending = this.pending.size;
    emit({ kind: 'placer-silent', peer: query.placer, span, lastResponseAge, pending });
    if (query.query.claim !== undefined) {
      // The request goes elsewhere, but may wait or have begun there.
      this.releasePlacement(query.placer, key);
    }
    onTimeout(query.record);
  }
}
