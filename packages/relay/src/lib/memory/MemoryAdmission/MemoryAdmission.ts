import { memoryOptions } from '../memoryOptions.js';

/** Whether there is room for a request. */
export enum Room {
  Free = 'free',
  /** Its body does not fit at the moment, while smaller ones would. */
  Short = 'short',
  /** Nothing of its urgency is taken on. */
  Full = 'full',
}

/** Options of {@link MemoryAdmission}. */
export interface MemoryAdmissionOptions {
  /** Bytes that may be held for others; undefined if they are not bounded. */
  budget: number | undefined;
  /** Part of the budget that new requests may fill. */
  admittedShare: number;
  /** Part of the room for new requests that the least urgent ones may fill. */
  leastUrgentShare: number;
}

/** What is known of a request before its body is read. */
export interface MemoryApplicant {
  /** From 0 to 1, which is the most urgent. */
  urgency: number;
  /** Bytes that it is going to hold. */
  bytes: number;
}

/**
 * Decides whether there is room for the body of a new request.
 *
 * Answers the load of many callers that ask for or send megabytes and read slowly: a bound on the number of
 * requests would either refuse small ones for nothing, or not hold for large ones. The least urgent requests
 * have the smallest room, so that more urgent ones still find some. All of it leaves a part of the bound to
 * the responses of the requests that run, since these are never dropped.
 */
export class MemoryAdmission {
  /** The urgencies whose requests are refused until their room is emptier than when it was full. */
  private readonly closed = new Set<number>();

  constructor(private readonly options: MemoryAdmissionOptions) {}

  /** Whether requests of any urgency are refused. */
  get isFull(): boolean {
    return this.closed.size > 0;
  }

  /** @param held - bytes that are held already */
  decide({ urgency, bytes }: MemoryApplicant, held: number): Room {
    const { reopenShare } = memoryOptions;
    const room = this.getRoom(urgency);
    const isClosed = this.closed.has(urgency);
    if (held + bytes <= (isClosed ? room * reopenShare : room)) {
      this.closed.delete(urgency);
      return Room.Free;
    }
    // A single large body does not keep out small ones.
    if (held > room * reopenShare) {
      this.closed.add(urgency);
      return Room.Full;
    }
    return Room.Short;
  }

  /** Whether more is held than the bound allows, so that reading must pause. */
  isExceeded(held: number): boolean {
    return held > (this.options.budget ?? Number.POSITIVE_INFINITY);
  }

  /** Returns how many bytes may be held after a request of this urgency has begun. */
  private getRoom(urgency: number): number {
    const { admittedShare, budget, leastUrgentShare } = this.options;
    if (budget === undefined) {
      return Number.POSITIVE_INFINITY;
    }
    return budget * admittedShare * (leastUrgentShare + (1 - leastUrgentShare) * urgency);
  }
}
