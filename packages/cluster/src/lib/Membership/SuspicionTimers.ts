import type { Timer } from '@apricotrill/utils';
import type { CoreContext } from '../CoreContext.js';

interface SuspicionParts {
  context: CoreContext;
  /** Whether no conclusion may be drawn from a member's silence now. */
  isOnHold: (member: string) => boolean;
  onExpired: (member: string) => void;
}

/** The time that suspected members still have to refute. */
export class Suspicions {
  private readonly timers = new Map<string, Timer>();

  constructor(private readonly parts: SuspicionParts) {}

  start(member: string): void {
    const { context } = this.parts;
    this.timers.get(member)?.cancel();
    const timer = context.clock.setTimer(context.options.suspicionSpan, () => this.expire(member));
    this.timers.set(member, timer);
  }

  cancel(member: string): void {
    this.timers.get(member)?.cancel();
    this.timers.delete(member);
  }

  /** Gives all of them their full time again. */
  restart(): void {
    [...this.timers.keys()].forEach((member) => this.start(member));
  }

  dispose(): void {
    this.timers.forEach((timer) => timer.cancel());
    this.timers.clear();
  }

  /** While on hold the member gets its full time again: a refutation cannot arrive either. */
  private expire(member: string): void {
    if (this.parts.isOnHold(member)) {
      this.start(member);
    } else {
      this.timers.delete(member);
      this.parts.onExpired(member);
    }
  }
}
