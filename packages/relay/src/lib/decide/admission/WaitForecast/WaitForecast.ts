import type { Milliseconds } from '@apricotrill/utils';
import type { EngineRoom } from '../EngineRoom/EngineRoom.js';

/** When a waiting request is expected to begin, and when its first token is expected. */
export interface ExpectedTimes {
  /** From now. */
  begin: Milliseconds;
  /** From now. */
  firstToken: Milliseconds;
}

/** What the forecast assumes about one engine. */
export interface EnginePlan {
  room: EngineRoom;
  /** Time until the engine has prefilled all prompts that were planned there. */
  backlog: Milliseconds;
  /** Slots that are free, less the requests planned; negative if requests wait for slots. */
  freeSlots: number;
  /** Mean time between two releases of a slot. */
  releaseInterval: Milliseconds;
}

/** Inputs of {@link WaitForecast}. */
export interface WaitForecastInputs {
  /** Mean time for which a request holds its slot. */
  hold: Milliseconds;
  /** Maximum time that the prompts pending at an engine may take. */
  maxBacklog: Milliseconds;
}

/** A prediction, and the engine that it assumes. */
export interface PlannedRequest {
  plan: EnginePlan;
  times: ExpectedTimes;
  prefillTime: Milliseconds;
}

/**
 * Predicts when waiting requests begin. Each is planned at the engine with the earliest first token, after
 * all requests before it in order.
 *
 * Load pattern: overload of any duration. A request that waits in vain gets its refusal only when its
 * target has passed, and takes room from one that could be in time.
 */
export class WaitForecast {
  private readonly plans = new Map<EngineRoom, EnginePlan>();

  constructor(private readonly inputs: WaitForecastInputs) {}

  /** Predicts the times of a request after all that were planned; undefined if it may go nowhere. */
  predict(rooms: readonly EngineRoom[], missingTokens: number): PlannedRequest | undefined {
    let best: EnginePlan | undefined;
    let bestTime = Number.POSITIVE_INFINITY;
    rooms.forEach((room) => {
      const plan = this.getPlan(room);
      const firstToken = WaitForecast.getFirstToken(plan, missingTokens);
      if (best === undefined || firstToken < bestTime) {
        best = plan;
        bestTime = firstToken;
      }
    });
    return best === undefined ? undefined : this.createPlanned(best, missingTokens);
  }

  /** Plans a request as predicted, so that it counts for those predicted after it. */
  static add({ plan, times, prefillTime }: PlannedRequest): void {
    Object.assign(plan, {
      backlog: Math.max(plan.backlog, times.begin) + prefillTime,
      freeSlots: plan.freeSlots - 1,
    });
  }

  private createPlanned(plan: EnginePlan, missingTokens: number): PlannedRequest {
    const { backlog, room } = plan;
    const prefillTime = missingTokens * room.tokenTime;
    const roomIn = backlog + Math.min(0, prefillTime - this.inputs.maxBacklog);
    const begin = Math.max(0, WaitForecast.getSlotTime(plan), roomIn);
    const firstToken = WaitForecast.getFirstToken(plan, missingTokens);
    return { plan, times: { begin, firstToken }, prefillTime };
  }

  private static getFirstToken(plan: EnginePlan, missingTokens: number): Milliseconds {
    const { room, backlog } = plan;
    const prefillStart = Math.max(backlog, WaitForecast.getSlotTime(plan));
    return prefillStart + room.setupTime + missingTokens * room.tokenTime;
  }

  /** Time until a slot is free. */
  private static getSlotTime({ freeSlots, releaseInterval }: EnginePlan): Milliseconds {
    return freeSlots > 0 ? 0 : (1 - freeSlots) * releaseInterval;
  }

  private getPlan(room: EngineRoom): EnginePlan {
    const known = this.plans.get(room);
    if (known !== undefined) {
      return known;
    }
    const { backlog, freeSlots, slots } = room;
    const releaseInterval = this.inputs.hold / slots;
    const created = { room, backlog, freeSlots, releaseInterval };
    this.plans.set(room, created);
    return created;
  }
}
