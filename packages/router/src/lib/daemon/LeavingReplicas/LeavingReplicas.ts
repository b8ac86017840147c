import type { Clock, Milliseconds, Timer } from '@apricotrill/utils';

/**
 * Receives changes of whether a replica is leaving.
 *
 * @internal
 */
export interface LeavingReplicasListener {
  onLeaving: (replica: string) => void;
  onReturned: (replica: string) => void;
}

/**
 * Tracks which replicas are leaving, combining the replicas' own reports with announcements from
 * peers. Announcements expire, since peers don't revoke them. Without combining both sources, an
 * expired announcement would direct requests to a replica that still reports that it is leaving.
 *
 * @internal
 */
export class LeavingReplicas {
  private readonly selfReported = new Set<string>();

  private readonly announcements = new Map<string, Timer>();

  private readonly clock: Clock;

  private readonly listener: LeavingReplicasListener;

  constructor(clock: Clock, listener: LeavingReplicasListener) {
    this.clock = clock;
    this.listener = listener;
  }

  /** The replica itself reports that it is leaving. */
  recordSelfReport(replica: string): void {
    const wasLeaving = this.isLeaving(replica);
    this.selfReported.add(replica);
    if (!wasLeaving) {
      this.listener.onLeaving(replica);
    }
  }

  /** The replica itself reports that it accepts requests, which overrides all announcements. */
  recordReturn(replica: string): void {
    const wasLeaving = this.isLeaving(replica);
    this.selfReported.delete(replica);
    this.announcements.get(replica)?.cancel();
    this.announcements.delete(replica);
    if (wasLeaving) {
      this.listener.onReturned(replica);
    }
  }

  /** A peer announces that the replica is leaving; the announcement is valid for `validity`. */
  recordAnnouncement(replica: string, validity: Milliseconds): void {
    const wasLeaving = this.isLeaving(replica);
    this.announcements.get(replica)?.cancel();
    const timer = this.clock.setTimer(validity, () => this.expireAnnouncement(replica));
    this.announcements.set(replica, timer);
    if (!wasLeaving) {
      this.listener.onLeaving(replica);
    }
  }

  dispose(): void {
    this.announcements.forEach((timer) => timer.cancel());
    this.announcements.clear();
  }

  private expireAnnouncement(replica: string): void {
    this.announcements.delete(replica);
    if (!this.isLeaving(replica)) {
      this.listener.onReturned(replica);
    }
  }

  private isLeaving(replica: string): boolean {
    return this.selfReported.has(replica) || this.announcements.has(replica);
  }
}
