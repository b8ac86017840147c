import type { Clock, Milliseconds, Timer } from '@apricotrill/utils';
import type { LifecycleEvent } from '../LifecycleEvent.js';
import { UnavailableSettingsError } from './UnavailableSettingsError.js';

/** Timing of the attempts to read the settings. */
export const settingsOptions = {
  /** Delay before the second attempt; it doubles with each further one. */
  firstDelay: 20 satisfies Milliseconds,
  /** Maximum delay between attempts. */
  maxDelay: 250 satisfies Milliseconds,
  /** How often settings that are still not available are logged. */
  logInterval: 5_000 satisfies Milliseconds,
};

/**
 * Dependencies of {@link SettingsWait}.
 *
 * @public
 */
export interface SettingsWaitParts {
  clock: Clock;
  log: (event: LifecycleEvent) => void;
}

/**
 * Reads the settings of a process, which may be written while it starts. Settings that are not available are read
 * again until they are.
 *
 * @example
 * ```ts
 * const settings = await new SettingsWait({ clock, log }).read(() => readSettings(file));
 * ```
 * @public
 */
export class SettingsWait {
  private isStopped = false;

  /** Ends the wait before the next attempt. */
  private endWait: (() => void) | undefined;

  constructor(private readonly parts: SettingsWaitParts) {}

  /**
   * Reads the settings, with as many attempts as it takes.
   *
   * @param attempt - reads them once; throws {@link UnavailableSettingsError} if they may be whole later
   * @returns the settings; undefined if the wait was stopped before
   * @throws any other error of an attempt
   */
  async read<T>(attempt: () => Promise<T>): Promise<T | undefined> {
    const { clock, log } = this.parts;
    const startedAt = clock.now();
    let loggedAt = Number.NEGATIVE_INFINITY;
    let delay: Milliseconds = settingsOptions.firstDelay;
    while (!this.isStopped) {
      try {
        // eslint-disable-next-line no-await-in-loop
        const settings = await attempt();
        if (loggedAt >= startedAt) {
          log({ event: 'settings-read', after: clock.now() - startedAt });
        }
        return this.isStopped ? undefined : settings;
      } catch (error) {
        if (!(error instanceof UnavailableSettingsError)) {
          throw error;
        }
        if (clock.now() - loggedAt >= settingsOptions.logInterval) {
          loggedAt = clock.now();
          log({ event: 'settings-unavailable', error: error.message, after: loggedAt - startedAt });
        }
      }
      // eslint-disable-next-line no-await-in-loop
      await this.wait(delay);
      delay = Math.min(2 * delay, settingsOptions.maxDelay);
    }
    return undefined;
  }

  /** Makes the next attempt at once. */
  retry(): void {
    this.endWait?.();
  }

  /** Makes no further attempts. */
  stop(): void {
    this.isStopped = true;
    this.endWait?.();
  }

  private async wait(delay: Milliseconds): Promise<void> {
    if (this.isStopped) {
      return;
    }
    let timer: Timer | undefined;
    await new Promise<void>((resolve) => {
      this.endWait = resolve;
      timer = this.parts.clock.setTimer(delay, resolve);
    });
    timer?.cancel();
  }
}
