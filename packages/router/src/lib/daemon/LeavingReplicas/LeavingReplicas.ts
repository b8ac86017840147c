import type { Clock, Milliseconds, Timer } from '@apricotrill/utils';

/**
 * What changes for the scheduler.
 *
 * @internal
 */
export interface LeavingListener {
  onLeaving: (replica: string) => void;
  onReturned: (replica: string) => void;
}

/**
 * Joins what the replica says about itself with what others say. Word from others runs out, since
 * nobody takes it back; without the join, word that runs out would send work to a replica that
 * still says it is leaving.
 *
 * @internal
 */
export class LeavingReplicas {
  private readonly itself = new Set<string>();

  private readonly words = new Map<string, Timer>();

  private readonly clock: Clock;

  private readonly listener: LeavingListener;

  constructor(clock: Clock, listener: LeavingListener) {
    this.clock = clock;
    this.listener = listener;
  }

  /** The replica says that it is leaving. */
  noteItself(replica: string): void {
    const known = this.isLeaving(replica);
    this.itself.add(replica);
    if (!known) {
      this.listener.onLeaving(replica);
    }
  }

  /**
   * The replica says that it takes work, which ends all word to the contrary: no one knows better.
   */
  noteReturned(replica: string): void {
    const known = this.isLeaving(replica);
    this.itself.delete(replica);
    this.words.get(replica)?.cancel();
    this.words.delete(replica);
    if (known) {
      this.listener.onReturned(replica);
    }
  }

  /** Somebody else says that the replica is leaving; holds for `span`. */
  noteWord(replica: string, span: Milliseconds): void {
    const known = this.isLeaving(replica);
    this.words.get(replica)?.cancel();
    const timer = this.clock.setTimer(span, () => this.endWord(replica));
    this.words.set(replica, timer);
    if (!known) {
      this.listener.onLeaving(replica);
    }
  }

  dispose(): void {
    this.words.forEach((timer) => timer.cancel());
    this.words.clear();
  }

  private endWord(replica: string): void {
    this.words.delete(replica);
    if (!this.isLeaving(replica)) {
      this.listener.onReturned(replica);
    }
  }

  private isLeaving(replica: string): boolean {
    return this.itself.has(replica) || this.words.has(replica);
  }
}
