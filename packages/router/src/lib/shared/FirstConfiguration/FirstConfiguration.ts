import type { ConfigurationSnapshot } from '@apricotrill/configuration';
import type { Clock, Milliseconds, Timer } from '@apricotrill/utils';

/**
 * How long a daemon that starts waits for what it may have to know.
 *
 * @internal
 */
export interface FirstConfigurationOptions {
  /** For the store's word on which generation is accepted; peers tell theirs in the meantime. */
  grace: Milliseconds;
  /** For the accepted generation itself, once the store has named it. */
  limit: Milliseconds;
}

interface FirstConfigurationParts {
  clock: Clock;
  options: FirstConfigurationOptions;
  /** Takes each configuration that comes into force. */
  release: (inForce: ConfigurationSnapshot) => void;
}

/**
 * Holds back a starting daemon's first configuration until it is as new as what is accepted. The
 * process remembers nothing, and the peer that answers first may be one that was frozen and is
 * behind: callers of a restarted daemon would see an older version after a newer one. It waits for
 * the store's word, or, in an outage, for as long as it takes to hear from all neighbours.
 *
 * @internal
 */
export class FirstConfiguration {
  private offered: ConfigurationSnapshot | undefined;

  /** What is accepted, as far as the store told; undefined while it has not. */
  private accepted: number | undefined;

  private isOpen = false;

  private readonly timers: Timer[];

  private graceOver = false;

  private released = 0;

  constructor(private readonly parts: FirstConfigurationParts) {
    const { clock, options } = parts;
    this.timers = [
      clock.setTimer(options.grace, () => this.endGrace()),
      clock.setTimer(options.limit, () => this.open()),
    ];
  }

  /** The generation released last; 0 before the first. */
  get generation(): number {
    return this.released;
  }

  /** The cluster has put a configuration in force. */
  offer(inForce: ConfigurationSnapshot): void {
    this.offered = inForce;
    this.check();
  }

  /** @param generation - the store's word; 0 when nothing is accepted yet */
  hearAccepted(generation: number): void {
    this.accepted = generation;
    this.check();
  }

  dispose(): void {
    this.timers.forEach((timer) => timer.cancel());
  }

  private endGrace(): void {
    this.graceOver = true;
    this.check();
  }

  /** Nobody else has the accepted generation either, or it would have come by now. */
  private open(): void {
    this.isOpen = true;
    this.check();
  }

  private check(): void {
    const { offered } = this;
    if (offered === undefined || !this.mayRelease(offered.manifest.generation)) {
      return;
    }
    this.isOpen = true;
    this.offered = undefined;
    this.released = offered.manifest.generation;
    this.parts.release(offered);
  }

  private mayRelease(generation: number): boolean {
    if (this.isOpen) {
      return true;
    }
    return this.accepted === undefined ? this.graceOver : generation >= this.accepted;
  }
}
