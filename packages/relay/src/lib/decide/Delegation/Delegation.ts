import type { Clock, Milliseconds, Timer } from '@apricotrill/utils';
import type { AttemptKeys } from '../AttemptKeys.js';
import type { Fleet } from '../Fleet/Fleet.js';
import type { ReplicaGroup } from '../groups/getReplicaGroups.js';
import type { PlacementEffect, PlacementResponse } from '../messages.js';
import type { PlacementOptions } from '../placementOptions.js';
import type { ReplicaBackoffs } from '../ReplicaBackoffs/ReplicaBackoffs.js';
import type { RequestRecord } from '../RequestRecord.js';

/** Dependencies of {@link Delegation}. */
export interface DelegationParts {
  clock: Clock;
  emit: (effect: PlacementEffect) => void;
  options: PlacementOptions;
  fleet: Fleet;
  keys: AttemptKeys;
  backoffs: Pick<ReplicaBackoffs, 'backedOff'>;
  /** Called when a placer did not respond in time. */
  onTimeout: (record: RequestRecord) => void;
}

/** A query that awaits the response of a placer. */
export interface PendingQuery {
  record: RequestRecord;
  placer: string;
  sentAt: Milliseconds;
  timer: Timer;
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

  /** Whether a placer did not respond recently, and is not queried for a while. */
  isUnresponsive(daemon: string): boolean {
    return this.parts.clock.now() < (this.unresponsive.get(daemon)?.until ?? 0);
  }

  sendQuery(record: RequestRecord, placer: string): void {
    const { clock, emit, keys, options } = this.parts;
    const { service, rank, latencyTarget, pauseTarget, prompt } = record.request;
    const asked = record.askedGroups.at(-1);
    const key = keys.next();
    record.queriedPlacers.add(placer);
    const timer = clock.setTimer(options.askTimeout, () => this.handleTimeout(key));
    this.pending.set(key, { record, placer, sentAt: clock.now(), timer });
    const criteria = { service, rank, latencyTarget, pauseTarget, prompt };
    const excludedReplicas = [
      ...new Set([...record.triedReplicas, ...this.parts.backoffs.backedOff]),
    ];
    const query = {
      key,
      criteria,
      availabilityZone: options.availabilityZone,
      excludedReplicas,
      group: asked === undefined || asked.isHome ? undefined : asked.name,
    };
    emit({ kind: 'share', to: placer, update: { kind: 'ask', query } });
  }

  /**
   * Returns the query that a response belongs to. If it is no longer pending, releases the placement
   * and returns undefined.
   */
  handleResponse(placer: string, { key, placement }: PlacementResponse): PendingQuery | undefined {
    this.unresponsive.delete(placer);
    const query = this.pending.get(key);
    if (query?.placer !== placer) {
      if (placement !== undefined) {
        this.releasePlacement(placer, key);
      }
      return undefined;
    }
    this.pending.delete(key);
    query.timer.cancel();
    return query;
  }

  /** Notifies a placer that the attempt it counts as in flight will not be sent. */
  releasePlacement(placer: string, key: string): void {
    this.parts.emit({ kind: 'share', to: placer, update: { kind: 'ended', key } });
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

  /** Doubles the backoff up to a maximum, since each query to a dead placer delays a request. */
  private getNextBackoff(last: Milliseconds | undefined): Milliseconds {
    const { silentPlacer, longestSilentPlacer } = this.parts.options;
    return last === undefined ? silentPlacer : Math.min(longestSilentPlacer, last * 2);
  }

  private handleTimeout(key: string): void {
    const query = this.pending.get(key);
    if (query === undefined) {
      return;
    }
    const { clock, emit, onTimeout } = this.parts;
    this.pending.delete(key);
    const last = this.unresponsive.get(query.placer);
    // Queries that were in flight together count as one failure.
    const isCounted = last !== undefined && query.sentAt < last.until;
    const span = isCounted ? last.span : this.getNextBackoff(last?.span);
    if (!isCounted) {
      this.unresponsive.set(query.placer, { until: clock.now() + span, span });
    }
    emit({ kind: 'placer-silent', peer: query.placer, span });
    onTimeout(query.record);
  }
}
