import type { Clock, Milliseconds, Timer } from '@apricotrill/utils';
import type { EngineProfile } from '../../../config/RelayConfiguration.js';
import type { ChosenReplica } from '../../chooseReplica.js';
import type { ReplicaState } from '../../ReplicaState/ReplicaState.js';
import type { AdmissionGroup, AdmissionLoad } from '../AdmissionGroup.js';
import type { AdmissionOptions } from '../admissionOptions.js';
import type { AdmissionDecision, Applicant } from '../Applicant.js';
import { FairOrder } from '../FairOrder/FairOrder.js';
import { RecentTargets } from '../RecentTargets/RecentTargets.js';
import { RefusedRequests } from '../RefusedRequests/RefusedRequests.js';
import { RetryAdvice } from '../RetryAdvice/RetryAdvice.js';
import { ReviewPass } from '../ReviewPass/ReviewPass.js';
import { SlotTurnover } from '../SlotTurnover/SlotTurnover.js';
import { createWaitingApplicant } from '../WaitingApplicant.js';
import type { WaitingApplicant } from '../WaitingApplicant.js';

/** Dependencies of {@link EngineAdmission}. */
export interface EngineAdmissionParts {
  clock: Clock;
  options: AdmissionOptions;
  /**
   * The engines of the group that an applicant may go to now: in service, trusted, not excluded and not
   * backed off. They may be full.
   */
  getEngines: (applicant: Applicant) => readonly ReplicaState[];
  /** All engines of the group that are in service. */
  getGroupEngines: () => readonly ReplicaState[];
  getProfile: () => EngineProfile | undefined;
  /** Chooses among engines that have room; undefined if none can be used. */
  choose: (applicant: Applicant, candidates: readonly ReplicaState[]) => ChosenReplica | undefined;
  /** Has to count the attempt of a request that begins before it returns. */
  onDecision: (decision: AdmissionDecision) => void;
  /** Called with an unexpected error, after which the other applicants are decided. */
  onFault: (error: unknown) => void;
}

/**
 * Decides which requests begin at the engines of one replica group, which wait and which are refused.
 *
 * Load pattern: for seconds, requests ask for more than the engines can do. Sent on at once, they queue at
 * the engines, every first token is late, and the engines go on with requests that are late already while
 * calmer load arrives.
 *
 * @example
 * ```ts
 * const admission = new EngineAdmission({ clock, options: admissionOptions, getEngines, getProfile, choose, onDecision, onFault });
 * admission.submit(applicant); // onDecision({ kind: 'wait', … })
 * admission.review(); // after a first byte: onDecision({ kind: 'begin', … })
 * ```
 * @public
 */
export class EngineAdmission implements AdmissionGroup {
  private readonly waiting = new Map<string, WaitingApplicant>();

  private readonly order: FairOrder;

  private readonly targets: RecentTargets;

  private readonly turnover: SlotTurnover;

  private readonly refused: RefusedRequests;

  private readonly retryAdvice: RetryAdvice;

  private timer: Timer | undefined;

  private isReviewing = false;

  private isReviewDue = false;

  constructor(private readonly parts: EngineAdmissionParts) {
    this.order = new FairOrder(parts.options);
    this.targets = new RecentTargets(parts.options.targetMemory);
    this.turnover = new SlotTurnover(parts.clock.now());
    this.refused = new RefusedRequests(parts.options);
    this.retryAdvice = new RetryAdvice(parts.options, parts.clock.now());
  }

  get size(): number {
    return this.waiting.size;
  }

  submit(applicant: Applicant): void {
    const { clock, options, getEngines } = this.parts;
    const now = clock.now();
    this.targets.record(applicant.criteria.latencyTarget, now);
    this.order.recordArrival(applicant, now);
    const engines = getEngines(applicant);
    const firstArrivedAt = this.refused.getFirstArrival(applicant.fingerprint, now);
    const inputs = { applicant, engines, now, options, firstArrivedAt };
    this.waiting.set(applicant.id, createWaitingApplicant(inputs));
    this.review();
  }

  withdraw(id: string): void {
    if (this.waiting.delete(id)) {
      this.review();
    }
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
        this.updateTurnover();
        if (this.waiting.size > 0) {
          this.createPass().run();
        }
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
    const applicants = [...this.waiting.values()].map(({ applicant }) => applicant);
    this.waiting.clear();
    this.timer?.cancel();
    this.timer = undefined;
    return applicants;
  }

  getLoad(): AdmissionLoad {
    return this.createPass().getLoad();
  }

  private updateTurnover(): void {
    const { clock, getGroupEngines } = this.parts;
    const running = getGroupEngines().reduce((sum, state) => sum + state.running.size, 0);
    this.turnover.update(running, clock.now());
  }

  private createPass(): ReviewPass {
    const { clock, options } = this.parts;
    const now = clock.now();
    const maxBacklog = this.targets.getShortest(now) * options.backlogShare;
    const { waiting, order, turnover, refused, retryAdvice } = this;
    const state = { waiting, order, turnover, refused, retryAdvice };
    return new ReviewPass({ ...this.parts, ...state, now, maxBacklog });
  }

  /** Reviews again after a while, since room opens and targets pass without an event. */
  private scheduleReview(): void {
    this.timer?.cancel();
    this.timer = undefined;
    if (this.waiting.size > 0) {
      this.timer = this.parts.clock.setTimer(this.getReviewInterval(), () => this.review());
    }
  }

  private getReviewInterval(): Milliseconds {
    const { minReviewInterval, reviewShare } = this.parts.options;
    let shortest = Number.POSITIVE_INFINITY;
    this.waiting.forEach(({ applicant }) => {
      shortest = Math.min(shortest, applicant.criteria.latencyTarget);
    });
    return Math.max(minReviewInterval, shortest * reviewShare);
  }
}
