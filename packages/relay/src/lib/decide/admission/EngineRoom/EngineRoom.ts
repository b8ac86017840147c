import type { Milliseconds } from '@apricotrill/utils';
import type { EngineProfile } from '../../../config/RelayConfiguration.js';
import type { ReplicaState } from '../../ReplicaState/ReplicaState.js';
import type { AdmissionOptions } from '../admissionOptions.js';

/** Ratio of the actual to the expected wait for a first token from which on an engine is behind. */
const MAX_WAIT_RATIO = 1.25;

/** What a request needs of an engine. */
export interface EngineDemand {
  /** Prompt tokens that the engine would have to prefill. */
  missingTokens: number;
  /** KV-cache memory, in tokens. */
  memoryTokens: number;
}

/** Inputs of {@link EngineRoom}. */
export interface EngineRoomInputs {
  state: ReplicaState;
  profile: EngineProfile | undefined;
  now: Milliseconds;
  /** Maximum time that the prompts pending at the engine may take. */
  maxBacklog: Milliseconds;
  options: Pick<AdmissionOptions, 'memoryLimit' | 'transferTime'>;
}

/**
 * The room of one engine at one moment: whether it may take another request so that what begins there
 * begins in time.
 *
 * Load pattern: bursts that fill the queues of engines. What waits at an engine can't be reordered,
 * refused or moved, so an urgent request that arrives later waits for all of it. Therefore an engine gets
 * only what it prefills within a part of the shortest latency target, and the rest waits at the placer.
 */
export class EngineRoom {
  readonly state: ReplicaState;

  /**
   * How long the first token of some stream is overdue at the engine; 0 if none is. The engine is then
   * slower than assumed, or doesn't respond, and what is known of its backlog is too low.
   */
  private readonly overdue: Milliseconds;

  /** Time until the engine has prefilled the prompts that are pending there. */
  readonly backlog: Milliseconds;

  readonly slots: number;

  /** Estimated number of free slots; may be fractional, since unannounced requests are estimated. */
  readonly freeSlots: number;

  /** Expected wait for a first token if nothing has to be prefilled. */
  readonly setupTime: Milliseconds;

  /** Time to prefill a token. */
  readonly tokenTime: Milliseconds;

  private readonly maxBacklog: Milliseconds;

  private readonly freeMemory: number;

  private readonly usedMemory: number;

  constructor(private readonly inputs: EngineRoomInputs) {
    const { state, profile, now, options } = inputs;
    this.state = state;
    this.setupTime = state.getExpectedWait(0);
    this.tokenTime = 1 / state.prefillRate;
    this.maxBacklog = Math.max(inputs.maxBacklog, options.transferTime);
    this.overdue = this.getOverdue();
    this.backlog = state.getBacklog(now) * this.tokenTime + this.overdue;
    this.slots = state.getSlots(profile);
    this.freeSlots = this.slots - state.running.size - state.getUnannouncedInFlight(now);
    this.usedMemory = state.getMemoryTokens(now);
    const capacity = profile?.memoryTokens ?? Number.POSITIVE_INFINITY;
    this.freeMemory = capacity * options.memoryLimit - this.usedMemory;
  }

  /** Whether it may take a request of any size. */
  get isOpen(): boolean {
    return this.overdue === 0 && this.freeSlots > 0 && this.backlog <= this.maxBacklog;
  }

  /**
   * Whether it may take a request now. A request that exceeds the bounds by itself may still begin at an
   * engine that is idle, or about to be.
   */
  fits({ missingTokens, memoryTokens }: EngineDemand): boolean {
    const backlog = this.backlog + missingTokens * this.tokenTime;
    return (
      this.isOpen &&
      (backlog <= this.maxBacklog || this.backlog <= this.inputs.options.transferTime) &&
      (memoryTokens <= this.freeMemory || this.usedMemory === 0)
    );
  }

  /** Number of requests of this size that could begin at once. */
  countRequests(missingTokens: number): number {
    if (!this.isOpen) {
      return 0;
    }
    const prefillTime = Math.max(Number.MIN_VALUE, missingTokens * this.tokenTime);
    const inTime = 1 + Math.floor(Math.max(0, this.maxBacklog - this.backlog) / prefillTime);
    return Math.min(Math.ceil(this.freeSlots), inTime);
  }

  /** Expected wait for the first token of a request that begins now. */
  getExpectedWait(missingTokens: number): Milliseconds {
    return this.setupTime + this.backlog + missingTokens * this.tokenTime;
  }

  private getOverdue(): Milliseconds {
    const { state, now, options } = this.inputs;
    let overdue = 0;
    state.running.forEach(({ isResponding, pauseTarget, sentAt, tokensAhead, copyTime }) => {
      // Other responses send their first byte only when they are complete.
      // A later prompt that is answered shows that the engine goes on, and that the daemon of an earlier
      // one does not report.
      const isPassed = sentAt < state.newestAnsweredSentAt;
      if (!isResponding && pauseTarget !== undefined && !isPassed) {
        const expected = copyTime + this.setupTime + tokensAhead * this.tokenTime;
        const latest = sentAt + expected * MAX_WAIT_RATIO + options.transferTime;
        overdue = Math.max(overdue, now - latest);
      }
    });
    return overdue;
  }
}
