import type { ConfigurationSnapshot } from '@apricotrill/configuration';
import type { Clock, Milliseconds, Timer } from '@apricotrill/utils';

/**
 * How long a starting daemon waits before it puts its first configuration in force.
 *
 * @internal
 */
export interface FirstConfigurationOptions {
  /** Timeout for the store's response on which generation is accepted; peers send theirs meanwhile. */
  acceptedGenerationTimeout: Milliseconds;
  /** Timeout for receiving the accepted generation itself, once the store has named it. */
  timeout: Milliseconds;
}

interface FirstConfigurationSettings {
  clock: Clock;
  options: FirstConfigurationOptions;
  /** Called with each configuration that comes into force. */
  release: (inForce: ConfigurationSnapshot) => void;
}

/**
 * Holds back a starting daemon's first configuration until it is at least as new as the accepted
 * generation. The process has no persistent state, and the first peer to respond may have been frozen
 * and be out of date: callers of a restarted daemon would see an older version after a newer one. So
 * the daemon waits for the store's response or, if the store is down, long enough to hear from all
 * its peers.
 *
 * @internal
 */
export class FirstConfiguration {
  private offered: ConfigurationSnapshot | undefined;

  /** The accepted generation according to the store; undefined until it has responded. */
  private acceptedGeneration: number | undefined;

  private isReleasing = false;

  private readonly timers: Timer[];

  private isAcceptedGenerationOverdue = false;

  private releasedGeneration = 0;

  constructor(private readonly settings: FirstConfigurationSettings) {
    const { clock, options } = settings;
    this.timers = [
      clock.setTimer(options.acceptedGenerationTimeout, () =>
        this.handleAcceptedGenerationTimeout(),
      ),
      clock.setTimer(options.timeout, () => this.handleTimeout()),
    ];
  }

  /** The generation most recently released; 0 before the first. */
  get generation(): number {
    return this.releasedGeneration;
  }

  /** Takes a configuration that the cluster has put in force. */
  offer(inForce: ConfigurationSnapshot): void {
    this.offered = inForce;
    this.releaseIfAllowed();
  }

  /** @param generation - the accepted generation according to the store; 0 if there is none yet */
  setAcceptedGeneration(generation: number): void {
    this.acceptedGeneration = generation;
    this.releaseIfAllowed();
  }

  dispose(): void {
    this.timers.forEach((timer) => timer.cancel());
  }

  private handleAcceptedGenerationTimeout(): void {
    this.isAcceptedGenerationOverdue = true;
    this.releaseIfAllowed();
  }

  /** No peer has the accepted generation either, or it would have arrived by now. */
  private handleTimeout(): void {
    this.isReleasing = true;
    this.releaseIfAllowed();
  }

  private releaseIfAllowed(): void {
    const { offered } = this;
    if (offered === undefined || !this.canRelease(offered.manifest.generation)) {
      return;
    }
    this.isReleasing = true;
    this.offered = undefined;
    this.releasedGeneration = offered.manifest.generation;
    this.settings.release(offered);
  }

  private canRelease(generation: number): boolean {
    if (this.isReleasing) {
      return true;
    }
    return this.acceptedGeneration === undefined
      ? this.isAcceptedGenerationOverdue
      : generation >= this.acceptedGeneration;
  }
}
