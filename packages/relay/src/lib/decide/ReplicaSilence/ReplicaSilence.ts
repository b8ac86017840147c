import type { Milliseconds } from '@apricotrill/utils';

/** Since when a replica has sent nothing, and whether its liveness is being checked. */
export class ReplicaSilence {
  private lastReceivedAt: Milliseconds = 0;

  private isCheckPending = false;

  recordReceived(now: Milliseconds): void {
    this.lastReceivedAt = now;
  }

  /** Whether nothing was received since a time. */
  isSilentSince(time: Milliseconds): boolean {
    return this.lastReceivedAt < time;
  }

  /** @returns false if a liveness check is already pending */
  beginCheck(): boolean {
    const isNew = !this.isCheckPending;
    this.isCheckPending = true;
    return isNew;
  }

  endCheck(isAlive: boolean, now: Milliseconds): void {
    this.isCheckPending = false;
    if (isAlive) {
      this.lastReceivedAt = now;
    }
  }
}
