import type { Milliseconds } from '@apricotrill/utils';
import type { ReplicaState } from '../../ReplicaState/ReplicaState.js';
import type { AdmissionLoad } from '../AdmissionGroup.js';
import { RefusalReason } from '../Applicant.js';
import type { EngineAdmissionParts } from '../EngineAdmission/EngineAdmission.js';
import { EngineRoom } from '../EngineRoom/EngineRoom.js';
import type { EngineDemand } from '../EngineRoom/EngineRoom.js';
import type { FairOrder } from '../FairOrder/FairOrder.js';
import type { RefusedRequests } from '../RefusedRequests/RefusedRequests.js';
import type { RetryAdvice } from '../RetryAdvice/RetryAdvice.js';
import type { SlotTurnover } from '../SlotTurnover/SlotTurnover.js';
import { WaitForecast } from '../WaitForecast/WaitForecast.js';
import type { ExpectedTimes } from '../WaitForecast/WaitForecast.js';
import { updateMissingTokens } from '../WaitingApplicant.js';
import type { WaitingApplicant } from '../WaitingApplicant.js';

/** Share of the slots below which a request is not refused for being late while nothing else waits. */
const MAX_CALM_SHARE = 0.5;

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

/** An engine that an applicant may go to, and what the applicant needs there. */
interface Option {
  room: EngineRoom;
  demand: EngineDemand;
}

function getWait({ room, demand }: Option): Milliseconds {
  return room.getExpectedWait(demand.missingTokens);
}

/** Mean number of tokens that had to be prefilled for the requests that run. */
function getMeanTokens(rooms: readonly EngineRoom[]): number {
  const running = rooms.flatMap(({ state }) => [...state.running]);
  const tokens = running.reduce((sum, { missingTokens }) => sum + missingTokens, 0);
  return running.length === 0 ? 0 : tokens / running.length;
}

/** The option with the earliest first token. */
function getSoonest(options: readonly Option[]): Option {
  return options.reduce((best, option) => (getWait(option) < getWait(best) ? option : best));
}

/**
 * Decides about all waiting applicants at one moment: begins those for which there is room, in order, and
 * refuses those whose first token can't be in time.
 */
export class ReviewPass {
  private readonly rooms = new Map<ReplicaState, EngineRoom>();

  /** Engines kept for an applicant that needs more room than they have now. */
  private readonly reserved = new Set<ReplicaState>();

  private readonly forecast: WaitForecast;

  constructor(private readonly inputs: ReviewPassInputs) {
    const { maxBacklog, turnover } = inputs;
    this.forecast = new WaitForecast({ hold: turnover.hold, maxBacklog });
  }

  run(): void {
    const { now, order, waiting } = this.inputs;
    order.sort(waiting.values(), now).forEach((next) => this.beginInTime(next));
    const late = this.planInOrder((each, { begin }) => this.announce(each, begin));
    // A late response is better than none where it delays nobody.
    const isElseEmpty = waiting.size === late.length;
    late.forEach((each) => {
      if (!isElseEmpty || !this.beginLate(each.waiting)) {
        this.refuse(each);
      }
    });
  }

  getLoad(): AdmissionLoad {
    const { getGroupEngines, waiting } = this.inputs;
    const rooms = getGroupEngines().map((state) => this.getRoom(state));
    this.planInOrder(() => undefined);
    const planned = this.forecast.predict(rooms, 0);
    const missingTokens = getMeanTokens(rooms);
    const room = rooms.reduce((sum, each) => sum + each.countRequests(missingTokens), 0);
    return {
      expectedWait: Math.min(planned?.times.begin ?? MAX_ANNOUNCED_WAIT, MAX_ANNOUNCED_WAIT),
      room: waiting.size > 0 ? 0 : room,
    };
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
   * Plans the waiting applicants in order.
   *
   * @returns those whose first token can't be in time
   */
  private planInOrder(
    onPlanned: (waiting: WaitingApplicant, times: ExpectedTimes) => void,
  ): LateApplicant[] {
    const { now, order } = this.inputs;
    const late: LateApplicant[] = [];
    order.sort(this.inputs.waiting.values(), now).forEach((waiting) => {
      const rooms = this.getRooms(waiting);
      const planned = this.forecast.predict(rooms, waiting.missingTokens);
      if (planned !== undefined && this.isInTime(waiting, planned.times.firstToken)) {
        WaitForecast.add(planned);
        onPlanned(waiting, planned.times);
      } else {
        late.push({ waiting, firstTokenIn: planned?.times.firstToken });
      }
    });
    return late;
  }

  private announce(waiting: WaitingApplicant, expectedWait: Milliseconds): void {
    if (!waiting.isAnnounced && this.isWaiting(waiting)) {
      Object.assign(waiting, { isAnnounced: true });
      const { applicant } = waiting;
      this.inputs.onDecision({ kind: 'wait', applicant, expectedWait });
    }
  }

  /** Begins a late applicant where it makes no other late. @returns whether it begins */
  private beginLate(next: WaitingApplicant): boolean {
    if (!this.isWaiting(next)) {
      return true;
    }
    const open = this.getOpenOptions(next);
    const fitting = open.filter(({ room, demand }) => room.fits(demand));
    if (fitting.length > 0) {
      return this.begin(next, fitting);
    }
    const free = this.getOptions(next).filter(({ room }) => room.freeSlots > 0);
    return this.isCalm() && free.length > 0 && this.begin(next, [getSoonest(free)]);
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
    this.rooms.delete(chosen.state);
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
    const planned = this.forecast.predict(this.getRooms(waiting), waiting.missingTokens);
    return retryAdvice.getRetryAfter({ now, roomIn: planned?.times.begin ?? timeLeft, timeLeft });
  }

  private getRefusalReason(waiting: WaitingApplicant): RefusalReason {
    const isInTimeAlone = this.getOptions(waiting).some((option) =>
      this.isInTime(waiting, getWait(option)),
    );
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

  /** Whether less than half of the slots of the group are taken. */
  private isCalm(): boolean {
    const rooms = this.inputs.getGroupEngines().map((state) => this.getRoom(state));
    const slots = rooms.reduce((sum, room) => sum + room.slots, 0);
    const free = rooms.reduce((sum, room) => sum + Math.max(0, room.freeSlots), 0);
    return slots - free < slots * MAX_CALM_SHARE;
  }

  private getOpenOptions(waiting: WaitingApplicant): Option[] {
    const rooms = this.getRooms(waiting);
    const open = rooms.filter(({ isOpen, state }) => isOpen && !this.reserved.has(state));
    return open.length === 0 ? [] : this.createOptions(waiting, rooms, open);
  }

  private getOptions(waiting: WaitingApplicant): Option[] {
    const rooms = this.getRooms(waiting);
    return this.createOptions(waiting, rooms, rooms);
  }

  /** @param rooms - all engines that the applicant may go to */
  private createOptions(
    waiting: WaitingApplicant,
    rooms: readonly EngineRoom[],
    selected: readonly EngineRoom[],
  ): Option[] {
    const engines = rooms.map(({ state }) => state);
    updateMissingTokens(waiting, engines, this.inputs.now);
    const { missingByEngine, memoryTokens } = waiting;
    return selected.map((room) => {
      const missingTokens = missingByEngine.get(room.state) ?? 0;
      return { room, demand: { missingTokens, memoryTokens } };
    });
  }

  /** The engines that an applicant may go to. */
  private getRooms({ applicant }: WaitingApplicant): EngineRoom[] {
    return this.inputs
      .getEngines(applicant)
      .filter(({ replica }) => !applicant.excludedReplicas.has(replica.id))
      .map((state) => this.getRoom(state));
  }

  private getRoom(state: ReplicaState): EngineRoom {
    const known = this.rooms.get(state);
    if (known !== undefined) {
      return known;
    }
    const { getProfile, maxBacklog, now, options } = this.inputs;
    const room = new EngineRoom({ state, profile: getProfile(), now, maxBacklog, options });
    this.rooms.set(state, room);
    return room;
  }
}
