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
 * Why a request can't wait here, and when asking again makes sense.
 *
 * @internal
 */
export interface Refusal {
  reason: GiveUpReason;
  retryAfter: Milliseconds;
}

/**
 * What the room is made of.
 *
 * @internal
 */
export interface WaitingRoomParts {
  clock: Clock;
  options: PolicyOptions;
  random: Random;
  /** Starts a request; the promise settles when its slot is free again. */
  start: (record: RequestRecord) => Promise<void>;
  /** A request waited for too long and is out of the queue. */
  onExpired: (record: RequestRecord) => void;
  /** A parked request is back in the queue. */
  onReturned: () => void;
}

function createQueue(fair: ClassFairQueue): PQueue<ClassFairQueue, QueuePlace> {
  // p-queue creates its queue itself; a constructor that returns an object gives it ours.
  function getFair(): ClassFairQueue {
    return fair;
  }
  const queueClass = getFair as unknown as new () => ClassFairQueue;
  return new PQueue<ClassFairQueue, QueuePlace>({ queueClass, autoStart: false });
}

/**
 * Where the requests of one service wait: a p-queue over a `ClassFairQueue`, and the rules on who
 * may join it.
 *
 * p-queue frees a slot in a microtask after a task's promise settled. A state machine decides
 * while it handles a message and at no other time, or two runs of the same messages would differ.
 * So the queue is paused except for the moment in which `startNext` lets it start one task.
 *
 * @internal
 */
export class WaitingRoom {
  private readonly parts: WaitingRoomParts;

  private readonly fair: ClassFairQueue;

  private readonly queue: PQueue<ClassFairQueue, QueuePlace>;

  private readonly rates = new Map<string, DrainRate>();

  constructor(parts: WaitingRoomParts) {
    this.parts = parts;
    this.fair = new ClassFairQueue(parts.options);
    this.queue = createQueue(this.fair);
  }

  get size(): number {
    return this.fair.size;
  }

  /**
   * Whether a request would wait in vain. Judged from how fast its class has been draining: a
   * caller that is refused now can still go elsewhere, one that is refused at its deadline can't.
   * Urgent tiers are not refused on an estimate, only when their deadline has come.
   */
  getEarlyRefusal(record: RequestRecord): Refusal | undefined {
    const now = this.parts.clock.now();
    const left = record.deadline - now;
    if (left <= 0) {
      return { reason: GiveUpReason.Deadline, retryAfter: this.getRetryAfter(record) };
    }
    const rate = this.getRate(record.request.serviceClass.name, now);
    const place = record.getPlace();
    if (
      record.isUrgent ||
      rate === undefined ||
      this.fair.getWaiting(place.serviceClass.name) === 0
    ) {
      return undefined;
    }
    const wait = this.fair.getAhead(place) / rate;
    return wait <= left * this.parts.options.refusalMargin
      ? undefined
      : { reason: GiveUpReason.Deadline, retryAfter: this.spread(wait - left) };
  }

  /**
   * Makes room for a newcomer when the queue of its class is full.
   *
   * @returns the id of the request that gives way, which may be the newcomer itself; undefined
   *   when nobody has to
   */
  makeRoom(record: RequestRecord): string | undefined {
    const place = record.getPlace();
    if (this.fair.getWaiting(place.serviceClass.name) < this.parts.options.maxWaitingPerClass) {
      return undefined;
    }
    const evicted = this.fair.evictFor(place);
    this.rates.forEach((_, name) => this.noteLeft(name));
    return evicted ?? record.id;
  }

  /**
   * Lets a request wait: until its deadline, or, if it is under way already, as long as its caller
   * can be expected to wait for the rest.
   */
  add(record: RequestRecord): void {
    const { clock, options } = this.parts;
    const now = clock.now();
    const until = record.isUnderWay ? now + options.resumePatience : record.deadline;
    const timer = clock.setTimer(until - now, () => {
      this.remove(record);
      this.parts.onExpired(record);
    });
    record.enter(Phase.Waiting, timer);
    this.queue.add(() => this.parts.start(record), record.getPlace());
    this.getDrainRate(record.request.serviceClass.name).setWaiting(true, now);
  }

  /** Whether requests wait that could run wherever this one could, and can't. */
  isBlocked(record: RequestRecord): boolean {
    return this.fair.hasLane(record.getPlace());
  }

  /**
   * Takes a request aside for a moment: only replicas that failed it have room, and it must not
   * hold up those behind it. After the pause those replicas may be tried again.
   */
  park(record: RequestRecord): void {
    const { clock, options } = this.parts;
    const growth = record.isUrgent ? 1 : 2 ** record.parks;
    const pause = Math.min(options.maxRetryBackoff, options.retryBackoff * growth);
    const left = record.isUnderWay ? pause : record.deadline - clock.now();
    const timer = clock.setTimer(Math.min(pause, left), () => {
      record.forgive();
      this.add(record);
      this.parts.onReturned();
    });
    record.park();
    record.enter(Phase.Parked, timer);
    this.noteLeft(record.request.serviceClass.name);
  }

  remove(record: RequestRecord): void {
    this.fair.remove(record.id);
    this.noteLeft(record.request.serviceClass.name);
  }

  /**
   * Starts the next request that can run.
   *
   * @param gate - whether a lane's next request could run now
   * @returns false when none can
   */
  startNext(gate: LaneGate): boolean {
    if (!this.fair.select(gate)) {
      return false;
    }
    this.queue.concurrency = this.queue.pending + 1;
    this.queue.start();
    this.queue.pause();
    return true;
  }

  /** Notes that a request of the class left the queue for a replica. */
  noteDispatch(className: string): void {
    this.getDrainRate(className).note(this.parts.clock.now());
    this.noteLeft(className);
  }

  /** When a refused caller should ask again: once what waits before it has probably drained. */
  getRetryAfter(record: RequestRecord): Milliseconds {
    const now = this.parts.clock.now();
    const rate = this.getRate(record.request.serviceClass.name, now);
    return this.spread(rate === undefined ? 0 : this.fair.getAhead(record.getPlace()) / rate);
  }

  /** Waiting requests by class. */
  getWaiting(): Record<string, number> {
    const names = [...this.rates.keys()];
    return Object.fromEntries(names.map((name) => [name, this.fair.getWaiting(name)]));
  }

  /** The tier that a class goes before when its floor is due. */
  getOvertaken(className: string): number | undefined {
    return this.fair.getOvertaken(className);
  }

  getCredits(): Record<string, number> {
    return this.fair.getCredits();
  }

  /** Notes that a request of the class left the queue, wherever to. */
  private noteLeft(className: string): void {
    const isWaiting = this.fair.getWaiting(className) > 0;
    this.getDrainRate(className).setWaiting(isWaiting, this.parts.clock.now());
  }

  private getDrainRate(className: string): DrainRate {
    const rate = this.rates.get(className) ?? new DrainRate(this.parts.options.drainWindow);
    this.rates.set(className, rate);
    return rate;
  }

  private getRate(className: string, now: Milliseconds): number | undefined {
    return this.rates.get(className)?.get(now, this.parts.options.minDrainObservation);
  }

  /** Spread over half the time again, or all that were refused come back at once. */
  private spread(wait: Milliseconds): Milliseconds {
    const { minRetryAfter, maxRetryAfter } = this.parts.options;
    const base = Math.min(maxRetryAfter, Math.max(minRetryAfter, wait));
    return Math.ceil(base * (1 + this.parts.random.next() / 2));
  }
}
