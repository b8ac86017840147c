import type { Clock, Milliseconds, Timer } from '@apricotrill/utils';
import type { AdmissionGroup, AdmissionLoad } from '../../admission/AdmissionGroup.js';
import { RefusalReason } from '../../admission/Applicant.js';
import type { AdmissionDecision, Applicant } from '../../admission/Applicant.js';
import { admissionOptions } from '../../admission/admissionOptions.js';
import { createFailureDecision } from '../../admission/createFailureDecision.js';
import { RetryAdvice } from '../../admission/RetryAdvice/RetryAdvice.js';
import type { ChosenReplica } from '../../chooseReplica.js';
import type { ReplicaState } from '../../ReplicaState/ReplicaState.js';
import { fragilityOptions } from '../fragilityOptions.js';

/** Dependencies of {@link SlotAdmission}. */
export interface SlotAdmissionParts {
  clock: Clock;
  /** The replicas of the group that have room for an applicant now. */
  getCandidates: (applicant: Applicant) => readonly ReplicaState[];
  /** All replicas of the group that are in service. */
  getReplicas: () => readonly ReplicaState[];
  /** Requests that a replica runs at once. */
  getSlots: (state: ReplicaState) => number;
  /** Chooses among replicas that have room; undefined if none can be used. */
  choose: (applicant: Applicant, candidates: readonly ReplicaState[]) => ChosenReplica | undefined;
  /** Has to count the attempt of a request that begins before it returns. */
  onDecision: (decision: AdmissionDecision) => void;
  /** Called with an unexpected error, after which the other applicants are decided. */
  onFault: (error: unknown) => void;
}

/** An applicant that waits, and whether it was told so. */
interface WaitingApplicant {
  applicant: Applicant;
  /** Until when it may begin. */
  latestBegin: Milliseconds;
  isAnnounced: boolean;
}

/** What the replicas of the group can do now. */
interface Supply {
  slots: number;
  /** Time for which a request takes a slot. */
  latency: Milliseconds;
}

/**
 * Decides which requests begin at replicas that must not be sent more than they can run, which wait for a slot
 * and which are refused. The most urgent begin first, and among these the one that arrived first. What could
 * not begin in time is refused at once.
 *
 * @example
 * ```ts
 * const admission = new SlotAdmission({ clock, getCandidates, getReplicas, getSlots, choose, onDecision, onFault });
 * admission.submit(applicant); // onDecision({ kind: 'wait', … })
 * admission.review(); // after an attempt has ended: onDecision({ kind: 'begin', … })
 * ```
 * @public
 */
export class SlotAdmission implements AdmissionGroup {
  /** In the order in which they begin. */
  private waiting: WaitingApplicant[] = [];

  private readonly retryAdvice: RetryAdvice;

  private timer: Timer | undefined;

  private isReviewing = false;

  private isReviewDue = false;

  constructor(private readonly parts: SlotAdmissionParts) {
    this.retryAdvice = new RetryAdvice(admissionOptions, parts.clock.now());
  }

  get size(): number {
    return this.waiting.length;
  }

  submit(applicant: Applicant): void {
    const latestBegin = Math.max(this.parts.clock.now(), this.getLatestBegin(applicant));
    const index = this.waiting.findIndex(({ applicant: other }) =>
      SlotAdmission.isBefore(applicant, other),
    );
    const position = index === -1 ? this.waiting.length : index;
    this.waiting.splice(position, 0, { applicant, latestBegin, isAnnounced: false });
    this.review();
  }

  withdraw(id: string): void {
    this.waiting = this.waiting.filter(({ applicant }) => applicant.id !== id);
  }

  /** Decides again about all waiting applicants. Calls during a review make it start over. */
  review(): void {
    this.isReviewDue = true;
    if (this.isReviewing) {
      return;
    }
    this.isReviewing = true;
    try {
      while (this.isReviewDue) {
        this.isReviewDue = false;
        this.runReview();
      }
    } catch (error) {
      // The message that caused this review is not at fault, and those that wait are reviewed again.
      this.parts.onFault(error);
    } finally {
      this.isReviewing = false;
    }
    this.scheduleReview();
  }

  dissolve(): Applicant[] {
    const applicants = this.waiting.map(({ applicant }) => applicant);
    this.waiting = [];
    this.timer?.cancel();
    this.timer = undefined;
    return applicants;
  }

  getLoad(): AdmissionLoad {
    const replicas = this.parts.getReplicas();
    const room = replicas.reduce(
      (sum, state) => sum + Math.max(0, this.parts.getSlots(state) - state.running.size),
      0,
    );
    return { expectedWait: SlotAdmission.getExpectedWait(this.size, this.getSupply()), room };
  }

  private runReview(): void {
    const now = this.parts.clock.now();
    [...this.waiting]
      .filter(({ latestBegin }) => latestBegin < now)
      .forEach((entry) => this.refuse(entry, RefusalReason.Late));
    this.beginAll();
    this.refuseExcess();
    this.announceWaits();
  }

  private beginAll(): void {
    [...this.waiting].every((entry) => {
      try {
        return this.begin(entry);
      } catch (error) {
        this.fail(entry, error);
        return true;
      }
    });
  }

  /** @returns whether those behind it may have room */
  private begin(entry: WaitingApplicant): boolean {
    const { choose, getCandidates, onDecision, clock } = this.parts;
    const { applicant } = entry;
    const candidates = getCandidates(applicant);
    const chosen = candidates.length === 0 ? undefined : choose(applicant, candidates);
    if (chosen !== undefined && this.remove(entry)) {
      this.retryAdvice.recordBegin(clock.now());
      onDecision({ kind: 'begin', applicant, chosen });
    }
    // Without exclusions, no room for this one means no room for those behind it.
    return chosen !== undefined || applicant.excludedReplicas.size > 0;
  }

  /** Refuses an applicant that an unexpected error keeps from being decided. */
  private fail(entry: WaitingApplicant, error: unknown): void {
    const { clock, onDecision, onFault } = this.parts;
    onFault(error);
    if (this.remove(entry)) {
      onDecision(createFailureDecision(entry.applicant, clock.now(), admissionOptions));
    }
  }

  /** Refuses those that could not begin in time because of others before them, the last first. */
  private refuseExcess(): void {
    const now = this.parts.clock.now();
    const supply = this.getSupply();
    const { waitingRatio } = fragilityOptions;
    const least = this.parts.getReplicas().length;
    while (this.waiting.length > Math.max(1, supply.slots * waitingRatio)) {
      this.refuse(this.waiting.at(-1)!, RefusalReason.Displaced);
    }
    [...this.waiting]
      .filter((entry, position) => {
        const beginsAt = now + SlotAdmission.getExpectedWait(position, supply);
        return position >= least && beginsAt > entry.latestBegin;
      })
      .reverse()
      .forEach((entry) => this.refuse(entry, RefusalReason.Late));
  }

  private announceWaits(): void {
    const supply = this.getSupply();
    this.waiting.forEach((entry, position) => {
      if (!entry.isAnnounced) {
        Object.assign(entry, { isAnnounced: true });
        const expectedWait = SlotAdmission.getExpectedWait(position, supply);
        this.parts.onDecision({ kind: 'wait', applicant: entry.applicant, expectedWait });
      }
    });
  }

  private refuse(entry: WaitingApplicant, reason: RefusalReason): void {
    if (!this.remove(entry)) {
      return;
    }
    const { clock, onDecision } = this.parts;
    const now = clock.now();
    const { applicant } = entry;
    const roomIn = SlotAdmission.getExpectedWait(this.size, this.getSupply());
    const timeLeft = Math.max(0, applicant.deadline - now);
    const retryAfter = this.retryAdvice.getRetryAfter({ now, roomIn, timeLeft });
    const expected = now + roomIn - applicant.arrivedAt;
    onDecision({ kind: 'refuse', applicant, reason, retryAfter, expected });
  }

  /** @returns false if it does not wait any more */
  private remove(entry: WaitingApplicant): boolean {
    const { length } = this.waiting;
    this.waiting = this.waiting.filter((other) => other !== entry);
    return this.waiting.length < length;
  }

  /** Until when a request may begin so that its response, or its first token, is in time. */
  private getLatestBegin({ arrivedAt, criteria, deadline }: Applicant): Milliseconds {
    const { latency } = this.getSupply();
    const { latencyTarget, prompt } = criteria;
    const needed = prompt === undefined ? latency : 0;
    const wait = Math.max(latencyTarget - needed, latencyTarget * fragilityOptions.minWaitShare);
    return Math.min(arrivedAt + wait, deadline - needed);
  }

  /** Time until a request with this many others before it is expected to begin. */
  private static getExpectedWait(position: number, { slots, latency }: Supply): Milliseconds {
    return ((position + 1) * latency) / Math.max(1, slots);
  }

  private getSupply(): Supply {
    const { clock, getReplicas, getSlots } = this.parts;
    const replicas = getReplicas();
    const slots = replicas.reduce((sum, state) => sum + getSlots(state), 0);
    const now = clock.now();
    const total = replicas.reduce(
      (sum, state) => sum + state.measuredLatency * state.getSlowdown(now),
      0,
    );
    return { slots, latency: replicas.length === 0 ? 0 : total / replicas.length };
  }

  /** Reviews again after a while, since replicas get room, and requests become late, without an event. */
  private scheduleReview(): void {
    this.timer?.cancel();
    this.timer = undefined;
    if (this.waiting.length > 0) {
      const { reviewInterval } = fragilityOptions;
      this.timer = this.parts.clock.setTimer(reviewInterval, () => this.review());
    }
  }

  private static isBefore(left: Applicant, right: Applicant): boolean {
    const { rank } = left.criteria;
    const { rank: otherRank } = right.criteria;
    return rank < otherRank || (rank === otherRank && left.arrivedAt < right.arrivedAt);
  }
}
