import type { Clock, Milliseconds, Random } from '@apricotrill/utils';
import PQueue from 'p-queue';
import { ClassFairQueue } from '../ClassFairQueue/ClassFairQueue.js';
import type { LaneGate } from '../ClassFairQueue/ClassFairQueue.js';
import type { QueuePlace } from '../ClassFairQueue/QueuePlace.js';
import { DrainRate } from '../DrainRate/DrainRate.js';
import { GiveUpReason } from '../messages.js';
import type { PolicyOptions } from '../policyOptions.js';
import { Phase } from '../Scheduler/RequestRecord.js';
import type { RequestRecord } from '../Scheduler/RequestRecord.js';

/**
 * Why a request is not queued, and when the caller should retry.
 *
 * @internal
 */
export interface Refusal {
  reason: GiveUpReason;
  retryAfter: Milliseconds;
}

/**
 * Constructor arguments of a `RequestQueue`.
 *
 * @internal
 */
export interface RequestQueueSettings {
  clock: Clock;
  options: PolicyOptions;
  random: Random;
  /** Starts a request; the promise settles when its slot is free again. */
  start: (record: RequestRecord) => Promise<void>;
  /** A request waited too long and was removed from the queue. */
  onExpired: (record: RequestRecord) => void;
  /** A parked request was put back into the queue. */
  onRequeued: () => void;
}

function createPQueue(classQueue: ClassFairQueue): PQueue<ClassFairQueue, QueuePlace> {
  // p-queue calls `new queueClass()` itself. A constructor may return an existing object, so this
  // makes p-queue use our queue.
  function getClassQueue(): ClassFairQueue {
    return classQueue;
  }
  const queueClass = getClassQueue as unknown as new () => ClassFairQueue;
  return new PQueue<ClassFairQueue, QueuePlace>({ queueClass, autoStart: false });
}

/**
 * The queue of waiting requests of one service: a p-queue on top of a `ClassFairQueue`, with rules
 * for admission, eviction and expiry.
 *
 * p-queue frees a slot in a microtask after the promise of a task has settled. The scheduler must
 * make decisions only while it handles a message or timer, or two runs with the same messages could
 * differ. The p-queue is therefore paused except while `startNext` lets it start one task.
 *
 * @internal
 */
export class RequestQueue {
  private readonly settings: RequestQueueSettings;

  private readonly classQueue: ClassFairQueue;

  private readonly queue: PQueue<ClassFairQueue, QueuePlace>;

  private readonly drainRates = new Map<string, DrainRate>();

  constructor(settings: RequestQueueSettings) {
    this.settings = settings;
    this.classQueue = new ClassFairQueue(settings.options);
    this.queue = createPQueue(this.classQueue);
  }

  get size(): number {
    return this.classQueue.size;
  }

  /**
   * Returns a refusal if the request would probably still be waiting at its deadline, estimated
   * from the drain rate of its class. A caller that is refused at once can still go elsewhere; one
   * that is refused at its deadline can't. Requests of urgent tiers are never refused on an
   * estimate, only when their deadline has passed.
   */
  getEarlyRefusal(record: RequestRecord): Refusal | undefined {
    const now = this.settings.clock.now();
    const timeLeft = record.deadline - now;
    if (timeLeft <= 0) {
      return { reason: GiveUpReason.Deadline, retryAfter: this.getRetryAfter(record) };
    }
    const rate = this.getObservedRate(record.request.serviceClass.name, now);
    const place = record.getPlace();
    if (
      record.isUrgent ||
      rate === undefined ||
      this.classQueue.getWaiting(place.serviceClass.name) === 0
    ) {
      return undefined;
    }
    const expectedWait = this.classQueue.estimateRequestsAhead(place) / rate;
    return expectedWait <= timeLeft * this.settings.options.refusalMargin
      ? undefined
      : { reason: GiveUpReason.Deadline, retryAfter: this.addJitter(expectedWait - timeLeft) };
  }

  /**
   * Evicts a request if the queue of the class of a new request is full.
   *
   * @returns the id of the evicted request, which may be the new request itself; undefined if the
   *   queue is not full
   */
  evictIfFull(record: RequestRecord): string | undefined {
    const place = record.getPlace();
    if (
      this.classQueue.getWaiting(place.serviceClass.name) < this.settings.options.maxWaitingPerClass
    ) {
      return undefined;
    }
    const evictedId = this.classQueue.evictFor(place);
    this.drainRates.forEach((_, name) => this.recordDeparture(name));
    return evictedId ?? record.id;
  }

  /**
   * Adds a request to the queue. It expires at its deadline or, if the deadline no longer applies to
   * it, after the time for which a caller can be expected to wait for the rest of a response.
   */
  add(record: RequestRecord): void {
    const { clock, options } = this.settings;
    const now = clock.now();
    const expiresAt = record.isExemptFromDeadline ? now + options.resumeTimeout : record.deadline;
    const timer = clock.setTimer(expiresAt - now, () => {
      this.remove(record);
      this.settings.onExpired(record);
    });
    record.enterPhase(Phase.Waiting, timer);
    this.queue.add(() => this.settings.start(record), record.getPlace());
    this.getDrainRate(record.request.serviceClass.name).setWaiting(true, now);
  }

  /**
   * Returns whether requests of the same class already wait for the same replicas. If they can't
   * run now, neither can this one.
   */
  isBlocked(record: RequestRecord): boolean {
    return this.classQueue.hasLane(record.getPlace());
  }

  /**
   * Takes a request out of the queue for a backoff period, because only replicas that failed it have
   * free slots and it must not block the requests behind it. After the backoff these replicas may be
   * tried again.
   */
  park(record: RequestRecord): void {
    const { clock, options } = this.settings;
    const factor = record.isUrgent ? 1 : 2 ** record.parkCount;
    const pause = Math.min(options.maxRetryBackoff, options.retryBackoff * factor);
    const timeLeft = record.isExemptFromDeadline ? pause : record.deadline - clock.now();
    const timer = clock.setTimer(Math.min(pause, timeLeft), () => {
      record.clearFailedReplicas();
      this.add(record);
      this.settings.onRequeued();
    });
    record.recordParking();
    record.enterPhase(Phase.Parked, timer);
    this.recordDeparture(record.request.serviceClass.name);
  }

  remove(record: RequestRecord): void {
    this.classQueue.remove(record.id);
    this.recordDeparture(record.request.serviceClass.name);
  }

  /**
   * Starts the next request that can run.
   *
   * @param gate - decides whether the next request of a lane could run now
   * @returns false if no request can run
   */
  startNext(gate: LaneGate): boolean {
    if (!this.classQueue.select(gate)) {
      return false;
    }
    this.queue.concurrency = this.queue.pending + 1;
    this.queue.start();
    this.queue.pause();
    return true;
  }

  /** Records that a request of the class was dispatched to a replica. */
  recordDispatch(className: string): void {
    this.getDrainRate(className).recordDispatch(this.settings.clock.now());
    this.recordDeparture(className);
  }

  /**
   * Returns how long a refused caller should wait before it retries: until the requests ahead of it
   * have probably been dispatched.
   */
  getRetryAfter(record: RequestRecord): Milliseconds {
    const now = this.settings.clock.now();
    const rate = this.getObservedRate(record.request.serviceClass.name, now);
    return this.addJitter(
      rate === undefined ? 0 : this.classQueue.estimateRequestsAhead(record.getPlace()) / rate,
    );
  }

  /** Returns the number of waiting requests of each class. */
  getWaiting(): Record<string, number> {
    const names = [...this.drainRates.keys()];
    return Object.fromEntries(names.map((name) => [name, this.classQueue.getWaiting(name)]));
  }

  /**
   * Returns the more urgent tier that a class overtakes when its guaranteed minimum share (floor) is
   * due.
   */
  getOvertakenTier(className: string): number | undefined {
    return this.classQueue.getOvertakenTier(className);
  }

  getCredits(): Record<string, number> {
    return this.classQueue.getCredits();
  }

  /** Records that a request of the class left the queue, for whatever reason. */
  private recordDeparture(className: string): void {
    const isWaiting = this.classQueue.getWaiting(className) > 0;
    this.getDrainRate(className).setWaiting(isWaiting, this.settings.clock.now());
  }

  private getDrainRate(className: string): DrainRate {
    const rate = this.drainRates.get(className) ?? new DrainRate(this.settings.options.drainWindow);
    this.drainRates.set(className, rate);
    return rate;
  }

  private getObservedRate(className: string, now: Milliseconds): number | undefined {
    return this.drainRates.get(className)?.getRate(now, this.settings.options.minDrainObservation);
  }

  /** Adds up to 50 % of random jitter, so that refused callers do not all retry at the same time. */
  private addJitter(delay: Milliseconds): Milliseconds {
    const { minRetryAfter, maxRetryAfter } = this.settings.options;
    const base = Math.min(maxRetryAfter, Math.max(minRetryAfter, delay));
    return Math.ceil(base * (1 + this.settings.random.next() / 2));
  }
}
