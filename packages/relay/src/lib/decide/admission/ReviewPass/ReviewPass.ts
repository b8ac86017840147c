import type { Milliseconds } from '@apricotrill/utils';
import type { ReplicaState } from '../../ReplicaState/ReplicaState.js';
import type { AdmissionLoad } from '../AdmissionGroup.js';
import { RefusalReason } from '../Applicant.js';
import { createFailureDecision } from '../createFailureDecision.js';
import type { EngineAdmissionParts } from '../EngineAdmission/EngineAdmission.js';
import type { FairOrder } from '../FairOrder/FairOrder.js';
import { getSoonest, getWait, GroupRooms } from '../GroupRooms/GroupRooms.js';
import type { Option } from '../GroupRooms/GroupRooms.js';
import type { RefusedRequests } from '../RefusedRequests/RefusedRequests.js';
import type { RetryAdvice } from '../RetryAdvice/RetryAdvice.js';
import type { SlotTurnover } from '../SlotTurnover/SlotTurnover.js';
import { WaitForecast } from '../WaitForecast/WaitForecast.js';
import type { ExpectedTimes } from '../WaitForecast/WaitForecast.js';
import type { WaitingApplicant } from '../WaitingApplicant.js';

/** Upper bound of an announced wait, also for a group without engines. */
const MAX_ANNOUNCED_WAIT: Milliseconds = 60_000;

/** Inputs of {@link ReviewPass}. */
export interface ReviewPassInputs extends Omit<EngineAdmissionParts, 'clock'> {
  now: Milliseconds;
  /** Maximum time that the prompts pending at an engine may take. */
  maxBacklog: Milliseconds;
  /** The waiting applicants by ID; those that are decided are removed. */
  waiting: Map<string, WaitingApplicant>;
  order: FairOrder;
  turnover: SlotTurnover;
  refused: RefusedRequests;
  retryAdvice: RetryAdvice;
}

/** An applicant whose first token can't be in time, and when it would be expected. */
interface LateApplicant {
  waiting: WaitingApplicant;
  /** From now; undefined if it may go to no engine. */
  firstTokenIn: Milliseconds | undefined;
}

/** When an applicant is expected to begin; no times if it may go to no engine. */
type Prediction =
  { isInTime: true; times: ExpectedTimes } | { isInTime: false; times: ExpectedTimes | undefined };

/**
 * Decides about all waiting applicants at one moment: begins those for which there is room, in order, and
 * refuses those whose first token can't be in time.
 */
export class ReviewPass {
  /** Engines kept for an applicant that needs more room than they have now. */
  private readonly reserved = new Set<ReplicaState>();

  private readonly forecast: WaitForecast;

  private readonly rooms: GroupRooms;

  constructor(private readonly inputs: ReviewPassInputs) {
    const { maxBacklog, turnover } = inputs;
    this.rooms = new GroupRooms(inputs);
    this.forecast = new WaitForecast({ hold: turnover.hold, maxBacklog });
  }

  run(): void {
    const { now, order, waiting } = this.inputs;
    let ordered = order.sort(waiting.values(), now);
    if (this.rooms.hasOpenEngine()) {
      ordered.forEach((next) => this.decide(next, () => this.beginInTime(next)));
      ordered = order.sort(waiting.values(), now);
    }
    const late: LateApplicant[] = [];
    ordered.forEach((each) => this.decide(each, () => late.push(...this.plan(each))));
    // A late response is better than none where it delays nobody.
    const isElseEmpty = waiting.size === late.length;
    late.forEach((each) =>
      this.decide(each.waiting, () => {
        if (!isElseEmpty || !this.beginLate(each.waiting)) {
          this.refuse(each);
        }
      }),
    );
  }

  getLoad(): AdmissionLoad {
    const { now, order, waiting } = this.inputs;
    const rooms = this.rooms.getAll();
    order.sort(waiting.values(), now).forEach((each) => this.predict(each));
    const planned = this.forecast.predict(rooms, 0);
    const room = this.rooms.countRequests();
    return {
      expectedWait: Math.min(planned?.times.begin ?? MAX_ANNOUNCED_WAIT, MAX_ANNOUNCED_WAIT),
      room: waiting.size > 0 ? 0 : room,
    };
  }

  /** Decides about one applicant, which is refused if that fails by an unexpected error. */
  private decide(next: WaitingApplicant, step: () => void): void {
    const { now, onDecision, onFault, options, waiting } = this.inputs;
    try {
      step();
    } catch (error) {
      onFault(error);
      const { applicant } = next;
      if (waiting.delete(applicant.id)) {
        onDecision(createFailureDecision(applicant, now, options));
      }
    }
  }

  /** Begins an applicant if an engine has room for it and its first token is expected in time. */
  private beginInTime(next: WaitingApplicant): void {
    if (!this.isWaiting(next)) {
      return;
    }
    const open = this.getOpenOptions(next);
    const fitting = open.filter(({ room, demand }) => room.fits(demand));
    if (open.length > 0 && fitting.length === 0) {
      this.reserve(next, getSoonest(open));
      return;
    }
    const inTime = fitting.filter((option) => this.isInTime(next, getWait(option)));
    this.begin(next, inTime);
  }

  /** Keeps an engine for a large request, since smaller ones behind it would keep the engine full. */
  private reserve(next: WaitingApplicant, option: Option): void {
    if (this.isInTime(next, getWait(option))) {
      this.reserved.add(option.room.state);
    }
  }

  /**
   * Plans an applicant after those before it, and announces its wait.
   *
   * @returns the applicant if its first token can't be in time
   */
  private plan(waiting: WaitingApplicant): LateApplicant[] {
    const { isInTime, times } = this.predict(waiting);
    if (isInTime) {
      this.announce(waiting, times.begin);
      return [];
    }
    return [{ waiting, firstTokenIn: times?.firstToken }];
  }

  /** Predicts an applicant, which counts for those after it if its first token can be in time. */
  private predict(waiting: WaitingApplicant): Prediction {
    const rooms = this.rooms.getFor(waiting);
    const planned = this.forecast.predict(rooms, waiting.missingTokens);
    if (planned !== undefined && this.isInTime(waiting, planned.times.firstToken)) {
      WaitForecast.add(planned);
      return { isInTime: true, times: planned.times };
    }
    return { isInTime: false, times: planned?.times };
  }

  private announce(waiting: WaitingApplicant, expectedWait: Milliseconds): void {
    if (!waiting.isAnnounced && this.isWaiting(waiting)) {
      Object.assign(waiting, { isAnnounced: true });
      const { applicant } = waiting;
      this.inputs.onDecision({ kind: 'wait', applicant, expectedWait });
    }
  }

  /**
   * Begins a late applicant where an engine has room. It doesn't go to engines without, though they may have
   * free slots: what they prefill already would make it and all that follow late.
   *
   * @returns whether it begins
   */
  private beginLate(next: WaitingApplicant): boolean {
    if (!this.isWaiting(next)) {
      return true;
    }
    const fitting = this.getOpenOptions(next).filter(({ room, demand }) => room.fits(demand));
    return this.begin(next, fitting);
  }

  /** @returns whether an engine was chosen */
  private begin(next: WaitingApplicant, options: readonly Option[]): boolean {
    const { applicant } = next;
    const { now, choose, onDecision, order, refused, retryAdvice, turnover, waiting } = this.inputs;
    const usable = options.filter((option) => now + getWait(option) < applicant.deadline);
    const candidates = usable.map(({ room }) => room.state);
    const chosen = candidates.length === 0 ? undefined : choose(applicant, candidates);
    if (chosen === undefined) {
      return false;
    }
    waiting.delete(applicant.id);
    order.recordBegin(next, now);
    turnover.recordBegin();
    retryAdvice.recordBegin(now);
    refused.remove(applicant.fingerprint);
    onDecision({ kind: 'begin', applicant, chosen });
    this.rooms.update(chosen.state);
    return true;
  }

  private refuse({ waiting, firstTokenIn }: LateApplicant): void {
    if (!this.isWaiting(waiting)) {
      return;
    }
    const { applicant, firstArrivedAt } = waiting;
    const { now, onDecision, refused } = this.inputs;
    this.inputs.waiting.delete(applicant.id);
    const timeLeft = applicant.deadline - now;
    const expectedIn = Math.min(firstTokenIn ?? timeLeft, timeLeft);
    const expected = now + expectedIn - applicant.arrivedAt;
    const retryAfter = this.getRetryAfter(waiting, timeLeft);
    const { fingerprint } = applicant;
    refused.record({ fingerprint, firstArrivedAt, retryAfter }, now);
    const reason = this.getRefusalReason(waiting);
    onDecision({ kind: 'refuse', applicant, reason, retryAfter, expected });
  }

  private getRetryAfter(waiting: WaitingApplicant, timeLeft: Milliseconds): Milliseconds {
    const { now, retryAdvice } = this.inputs;
    const planned = this.forecast.predict(this.rooms.getFor(waiting), waiting.missingTokens);
    return retryAdvice.getRetryAfter({ now, roomIn: planned?.times.begin ?? timeLeft, timeLeft });
  }

  private getRefusalReason(waiting: WaitingApplicant): RefusalReason {
    const isInTimeAlone = this.rooms
      .getOptions(waiting)
      .some((option) => this.isInTime(waiting, getWait(option)));
    return isInTimeAlone ? RefusalReason.Displaced : RefusalReason.Late;
  }

  /** Whether the decision about an applicant is still open. */
  private isWaiting({ applicant }: WaitingApplicant): boolean {
    return this.inputs.waiting.has(applicant.id);
  }

  private isInTime({ applicant, targetTime }: WaitingApplicant, wait: Milliseconds): boolean {
    const { now, options } = this.inputs;
    const reserve = applicant.criteria.latencyTarget * options.targetReserve;
    return now + wait + reserve <= targetTime;
  }

  /** Options at engines with room, except those that are kept for others. */
  private getOpenOptions(waiting: WaitingApplicant): Option[] {
    return this.rooms.getOpenOptions(waiting).filter(({ room }) => !this.reserved.has(room.state));
  }
}
