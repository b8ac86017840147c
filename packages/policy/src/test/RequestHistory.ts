import type { Milliseconds } from '@apricotrill/utils';
import type { AttemptStatus, ScheduledRequest } from '../lib/messages.js';

/** One dispatched attempt and its result. */
export interface SentAttempt {
  number: number;
  replica: string;
  status?: AttemptStatus;
  cancelledAt?: Milliseconds;
  hasOutput?: boolean;
}

/** The recorded history of one request. */
export class RequestHistory {
  readonly attempts: SentAttempt[] = [];

  deliveredTokens = 0;

  hasStarted = false;

  isFinished = false;

  preemptions = 0;

  constructor(readonly request: ScheduledRequest) {}

  finish(): void {
    this.isFinished = true;
  }

  recordPreemption(): number {
    this.preemptions += 1;
    return this.preemptions;
  }
}
