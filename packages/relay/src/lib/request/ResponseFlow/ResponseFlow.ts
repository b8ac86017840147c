import type { Clock, Milliseconds } from '@apricotrill/utils';
import type { Holding } from '../../memory/HeldBytes/Holding.js';
import { HeldKind } from '../../memory/HeldKind.js';
import { memoryOptions } from '../../memory/memoryOptions.js';
import type {
  PausableResponse,
  ResponseBuffers,
} from '../../memory/ResponseBuffers/ResponseBuffers.js';
import type { SentAttempt } from '../../transport/SentAttempt/SentAttempt.js';
import type { CallerResponse } from '../CallerResponse.js';

/** Why the response of a replica is not read. */
export enum PauseReason {
  /** The caller does not read. */
  Caller = 'caller',
  /** The daemon holds as much as its memory allows. */
  Memory = 'memory',
}

/** Dependencies of {@link ResponseFlow}. */
export interface ResponseFlowParts {
  clock: Clock;
  callerResponse: CallerResponse;
  holding: Holding;
  buffers: ResponseBuffers;
  /** Called when reading stops. */
  onPaused: (reason: PauseReason) => void;
}

/** The part of an attempt that the flow needs. */
export type ResponseSource = Pick<SentAttempt, 'pause' | 'resume'>;

/**
 * Reads the response of a replica only as fast as its caller reads, or as memory allows, and counts what is
 * held of it.
 */
export class ResponseFlow implements PausableResponse {
  private source: ResponseSource | undefined;

  private readonly reasons = new Set<PauseReason>();

  private pausedAt: Milliseconds = 0;

  /** When reading went on after the replica had waited long enough to cut off the response. */
  private lateSince: Milliseconds | undefined;

  private onReading: (() => void) | undefined;

  constructor(private readonly parts: ResponseFlowParts) {}

  /** Begins with the response to another attempt. */
  start(source: ResponseSource): void {
    this.source = source;
    this.lateSince = undefined;
  }

  /** Sends a part of a stream to the caller. */
  write(bytes: Buffer): void {
    const { callerResponse, holding } = this.parts;
    if (!callerResponse.write(bytes)) {
      holding.set(HeldKind.Stream, callerResponse.queuedBytes + memoryOptions.pausedResponseBytes);
      this.waitForCaller();
    }
  }

  /** Counts what has been received of a plain response. */
  recordBuffered(bytes: number): void {
    this.parts.holding.set(HeldKind.Response, bytes);
    this.parts.buffers.recordPart(this);
  }

  /** Nothing more of the response arrives. @param isHeld - whether it is still to be sent to the caller */
  end(isHeld: boolean): void {
    this.source = undefined;
    this.reasons.delete(PauseReason.Memory);
    this.parts.buffers.remove(this);
    if (!isHeld) {
      this.parts.holding.set(HeldKind.Response, 0);
    }
  }

  pauseForMemory(): void {
    this.pause(PauseReason.Memory);
  }

  resumeForMemory(): void {
    this.resume(PauseReason.Memory);
  }

  /** Whether the replica may have cut off the response since it was not read. */
  get isUnread(): boolean {
    const now = this.parts.clock.now();
    const isPaused = this.reasons.size > 0;
    return (
      (isPaused && now - this.pausedAt >= memoryOptions.minUnreadTime) ||
      (this.lateSince !== undefined && now - this.lateSince < memoryOptions.maxCutDelay)
    );
  }

  /** Calls back once the caller reads; at once if it does. */
  onceReading(callback: () => void): void {
    if (this.reasons.has(PauseReason.Caller)) {
      this.onReading = callback;
    } else {
      callback();
    }
  }

  private waitForCaller(): void {
    if (this.reasons.has(PauseReason.Caller)) {
      return;
    }
    this.pause(PauseReason.Caller);
    this.parts.callerResponse.onceDrained(() => {
      this.parts.holding.set(HeldKind.Stream, 0);
      this.resume(PauseReason.Caller);
      this.onReading?.();
      this.onReading = undefined;
    });
  }

  private pause(reason: PauseReason): void {
    if (this.reasons.size === 0) {
      this.pausedAt = this.parts.clock.now();
      this.source?.pause();
      this.parts.onPaused(reason);
    }
    this.reasons.add(reason);
  }

  private resume(reason: PauseReason): void {
    this.reasons.delete(reason);
    if (this.reasons.size > 0) {
      return;
    }
    const now = this.parts.clock.now();
    if (now - this.pausedAt >= memoryOptions.minUnreadTime) {
      this.lateSince = now;
    }
    this.source?.resume();
  }
}
