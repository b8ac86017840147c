import type { Milliseconds } from '@apricotrill/utils';
import type { AttemptStatus, ScheduledRequest } from '../lib/messages.js';

/** One dispatch and what became of it. */
export interface Sent {
  number: number;
  replica: string;
  end?: AttemptStatus;
  cancelledAt?: Milliseconds;
  isAnswered?: boolean;
}

/** The plainest account of one request. */
export class Story {
  readonly attempts: Sent[] = [];

  delivered = 0;

  isBegun = false;

  isOver = false;

  preemptions = 0;

  constructor(readonly request: ScheduledRequest) {}

  finish(): void {
    this.isOver = true;
  }

  preempt(): number {
    this.preemptions += 1;
    return this.preemptions;
  }
}
