import type { Timer } from '@apricotrill/utils';
import type { CoreContext } from '../CoreContext.js';

interface SuspicionTimersSettings {
  context: CoreContext;
  /** Whether the member must not be declared dead now, although its suspicion timed out. */
  isExpiryDeferred: (member: string) => boolean;
  onExpiry: (member: string) => void;
}

/** The timeouts of suspected members: one that does not refute in time is declared dead. */
export class SuspicionTimers {
  private readonly timers = new Map<string, Timer>();

  constructor(private readonly settings: SuspicionTimersSettings) {}

  start(member: string): void {
    const { context } = this.settings;
    this.timers.get(member)?.cancel();
    const timer = context.clock.setTimer(context.options.suspicionTimeout, () =>
      this.expire(member),
    );
    this.timers.set(member, timer);
  }

  cancel(member: string): void {
    this.timers.get(member)?.cancel();
    this.timers.delete(member);
  }

  /** Restarts all timers with the full suspicion timeout. */
  restart(): void {
    [...this.timers.keys()].forEach((member) => this.start(member));
  }

  dispose(): void {
    this.timers.forEach((timer) => timer.cancel());
    this.timers.clear();
  }

  /**
   * While expiry is deferred, the timer restarts with the full timeout: a refutation cannot arrive
   * either.
   */
  private expire(member: string): void {
    if (this.settings.isExpiryDeferred(member)) {
      this.start(member);
    } else {
      this.timers.delete(member);
      this.settings.onExpiry(member);
    }
  }
}
