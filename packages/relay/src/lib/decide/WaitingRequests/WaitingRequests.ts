import type { Clock, Milliseconds, Timer } from '@apricotrill/utils';
import type { Fleet } from '../Fleet/Fleet.js';
import { fragilityOptions } from '../fragility/fragilityOptions.js';
import { limitOptions } from '../limits/limitOptions.js';
import { GiveUpReason } from '../messages.js';
import { isOnTimeAt } from '../isOnTimeAt.js';
import type { Placing } from '../Placing/Placing.js';
import { PlacingResult } from '../Placing/Placing.js';
import type { ReplicaRegistry } from '../ReplicaRegistry/ReplicaRegistry.js';
import type { ServiceState } from '../ReplicaRegistry/ServiceState.js';
import type { RequestRecord } from '../RequestRecord.js';

const SECOND: Milliseconds = 1_000;

/** Dependencies of {@link WaitingRequests}. */
export interface WaitingRequestsParts {
  clock: Clock;
  fleet: Fleet;
  registry: ReplicaRegistry;
  placing: Pick<Placing, 'place' | 'placeLocally'>;
  /** Number of attempts that a daemon has in flight at a service. */
  countInFlight: (daemon: string, service: string) => number;
  giveUp: (record: RequestRecord, reason: GiveUpReason) => void;
  /** Ends a request that an unexpected error keeps from being placed. */
  fail: (record: RequestRecord, error: unknown) => void;
}

/** Places requests, and keeps those for which no replica has room until one has. */
export class WaitingRequests {
  /** Pending retries for services whose replicas all restrict what they take. */
  private readonly retryTimers = new Map<ServiceState, Timer>();

  constructor(private readonly parts: WaitingRequestsParts) {}

  placeOrWait(record: RequestRecord): void {
    const { giveUp, placing, registry } = this.parts;
    if (this.isVersionGone(record)) {
      giveUp(record, GiveUpReason.VersionGone);
      return;
    }
    if (placing.place(record) === PlacingResult.NoRoom) {
      const service = registry.getService(record.request.service);
      service.waiting.add(record);
      this.rejectExcessAndScheduleRetry(service);
      this.review(service);
      if (service.isAdmissionControlled) {
        this.rejectUnplaceable(service);
      }
    }
  }

  /**
   * If all replicas of a service are backed off, refuses the waiting requests that would be late after
   * the first of these backoffs, and schedules a retry for the others.
   */
  review(service: ServiceState): void {
    const end = service.getBackoffEnd();
    if (end === undefined) {
      return;
    }
    service.waiting
      .getAll()
      .filter((record) => !isOnTimeAt(record, end))
      .forEach((record) => this.parts.giveUp(record, GiveUpReason.BackedOff));
    if (service.waiting.size > 0) {
      this.scheduleRetry(service, end - this.parts.clock.now());
    }
  }

  /** Gives up the waiting requests of a service for which it has no replica in service. */
  rejectUnplaceable(service: ServiceState): void {
    service.waiting
      .getAll()
      .filter((record) => this.isVersionGone(record))
      .forEach((record) => this.parts.giveUp(record, GiveUpReason.VersionGone));
    if (service.getReplicasInService().length > 0) {
      return;
    }
    while (service.waiting.last !== undefined) {
      this.parts.giveUp(service.waiting.last, GiveUpReason.NoReplica);
    }
  }

  /** Whether no replica has the software version that began the stream of a request. */
  private isVersionGone({ request, softwareVersion }: RequestRecord): boolean {
    const service = this.parts.registry.getService(request.service);
    return (
      softwareVersion !== undefined && service.getReplicasInService(softwareVersion).length === 0
    );
  }

  /** Sends what can be sent now, after an attempt of this daemon at the service has ended. */
  drain(service: ServiceState): void {
    if (service.waiting.size === 0) {
      return;
    }
    if (service.isFragile || service.isAdmissionControlled) {
      this.retry(service);
    } else {
      this.drainEach(service, (record) => this.parts.placing.placeLocally(record));
    }
  }

  drainAll(): void {
    this.parts.registry.allServices.forEach((service) => this.drain(service));
  }

  /** Calls `place` for each waiting request. An error ends its request alone. */
  private drainEach(service: ServiceState, place: (record: RequestRecord) => boolean): void {
    service.waiting.drain((record) => {
      try {
        return place(record);
      } catch (error) {
        this.parts.fail(record, error);
        return true;
      }
    });
  }

  private scheduleRetry(service: ServiceState, delay: Milliseconds): void {
    if (!this.retryTimers.has(service)) {
      const timer = this.parts.clock.setTimer(delay, () => this.retry(service));
      this.retryTimers.set(service, timer);
    }
  }

  /**
   * Bounds the waiting requests of a service whose replicas are all rate-limited or fragile: rejects the
   * least urgent beyond the bound and schedules a retry for the others.
   */
  private rejectExcessAndScheduleRetry(service: ServiceState): void {
    const { giveUp } = this.parts;
    const room = WaitingRequests.getRoom(service);
    if (room === undefined) {
      return;
    }
    const maxWaiting = Math.max(1, Math.ceil(room * this.getShare(service)));
    while (service.waiting.size > maxWaiting) {
      giveUp(service.waiting.last!, GiveUpReason.Overload);
    }
    this.scheduleRetry(service, limitOptions.retryPeriod);
  }

  /**
   * This daemon's share of the requests that may wait for a service. It follows demand, since a load
   * balancer may hand most callers to one daemon. The daemons of a large fleet do not know each
   * other's demand.
   */
  private getShare(service: ServiceState): number {
    const { fleet, countInFlight } = this.parts;
    const evenShare = 1 / Math.max(1, fleet.members.length);
    if (fleet.isLarge) {
      return evenShare;
    }
    const own = service.ownInFlight + service.waiting.size;
    const others = fleet.members
      .filter((daemon) => daemon !== fleet.self)
      .reduce((sum, daemon) => sum + countInFlight(daemon, service.name), 0);
    return own === 0 ? evenShare : Math.max(evenShare, own / (own + others));
  }

  /** Requests of all daemons that may wait for a service; undefined if there is no bound. */
  private static getRoom(service: ServiceState): number | undefined {
    const limit = service.getTotalLimit();
    if (limit !== undefined) {
      return (limit * limitOptions.maxWait) / SECOND;
    }
    return service.isFragile ? service.totalSlots * fragilityOptions.waitingRatio : undefined;
  }

  /** Rejects the requests of a fragile service that waited for a placer until they were late. */
  private rejectLate(service: ServiceState): void {
    const now = this.parts.clock.now();
    service.waiting
      .getAll()
      .filter((record) => service.isFragile && !isOnTimeAt(record, now))
      .forEach((record) => this.parts.giveUp(record, GiveUpReason.Overload));
  }

  /** Tries again to place the waiting requests of a service. */
  private retry(service: ServiceState): void {
    this.retryTimers.get(service)?.cancel();
    this.retryTimers.delete(service);
    this.rejectLate(service);
    this.drainEach(service, (record) => {
      record.resetQueries();
      return this.parts.placing.place(record) !== PlacingResult.NoRoom;
    });
    if (service.waiting.size > 0) {
      this.rejectExcessAndScheduleRetry(service);
      this.review(service);
    }
  }
}
