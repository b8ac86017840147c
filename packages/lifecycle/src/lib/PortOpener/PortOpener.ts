import type { Clock, Milliseconds, Timer } from '@apricotrill/utils';
import { isTransient } from '../isTransient.js';
import type { LifecycleEvent } from '../LifecycleEvent.js';

/** Timing of the attempts to open a port. */
export const portOptions = {
  /** Delay before the second attempt; it doubles with each further one. */
  firstDelay: 20 satisfies Milliseconds,
  /** Maximum delay between attempts: how long a port that is free again may stay unused. */
  maxDelay: 250 satisfies Milliseconds,
  /** Delay after an error that is unlikely to pass. */
  finalErrorDelay: 5_000 satisfies Milliseconds,
  /** How often the holder of a port is looked up. */
  askInterval: 500 satisfies Milliseconds,
  /** How often a port that is still not available is logged. */
  logInterval: 5_000 satisfies Milliseconds,
};

/**
 * The process that holds a port.
 *
 * @public
 */
export interface PortHolder {
  /** For log lines. */
  description: string;
  /** Whether it is about to release the port, so that each further moment counts. */
  isReleasing: boolean;
}

/**
 * Dependencies of {@link PortOpener}.
 *
 * @public
 */
export interface PortOpenerParts {
  clock: Clock;
  log: (event: LifecycleEvent) => void;
  /**
   * Finds out which process holds a port, and may ask it to release it. Called again and again while the port is
   * not available.
   */
  findHolder?: (port: string) => Promise<PortHolder | undefined>;
}

/**
 * Opens the ports of a process. A port that is not available now, for example since the process before this one
 * still completes its requests, is tried again until it is.
 *
 * @example
 * ```ts
 * const opener = new PortOpener({ clock, log });
 * await opener.open('callers', () => listenOn(server, host, port));
 * ```
 * @public
 */
export class PortOpener {
  private isStopped = false;

  /** Whether the process that holds the ports is about to release them. */
  private isReleasing = false;

  /** Whether each port is open. */
  private readonly states = new Map<string, boolean>();

  /** Ends the waits before the next attempts. */
  private readonly waits = new Map<Timer, () => void>();

  constructor(private readonly parts: PortOpenerParts) {}

  /** The names of the ports, and whether each is open. */
  get ports(): ReadonlyMap<string, boolean> {
    return this.states;
  }

  /**
   * Opens a port, with as many attempts as it takes.
   *
   * @param name - names the port in log lines
   * @param attempt - makes one attempt
   * @returns what the attempt returns; undefined if the opener was stopped before
   * @throws an error of an attempt that can't pass
   */
  open<T>(name: string, attempt: () => Promise<T>): Promise<T | undefined> {
    return this.openPort(name, attempt, (error) => !isTransient(error));
  }

  /**
   * Like {@link PortOpener.open}, for a port that the process can do without: tried again after any error, less often
   * after one that is unlikely to pass.
   */
  openOptional<T>(name: string, attempt: () => Promise<T>): Promise<T | undefined> {
    return this.openPort(name, attempt, () => false);
  }

  private async openPort<T>(
    name: string,
    attempt: () => Promise<T>,
    mustThrow: (error: unknown) => boolean,
  ): Promise<T | undefined> {
    const { clock, log } = this.parts;
    const startedAt = clock.now();
    let askedAt = Number.NEGATIVE_INFINITY;
    let loggedAt = Number.NEGATIVE_INFINITY;
    let delay: Milliseconds = portOptions.firstDelay;
    this.states.set(name, false);
    while (!this.isStopped) {
      try {
        // eslint-disable-next-line no-await-in-loop
        const result = await attempt();
        this.states.set(name, true);
        if (loggedAt >= startedAt) {
          log({ event: 'port-opened', port: name, after: clock.now() - startedAt });
        }
        return result;
      } catch (error) {
        if (mustThrow(error)) {
          throw error;
        }
        delay = isTransient(error) ? delay : portOptions.finalErrorDelay;
        const now = clock.now();
        if (now - askedAt >= portOptions.askInterval) {
          const isLogged = now - loggedAt >= portOptions.logInterval;
          askedAt = now;
          loggedAt = isLogged ? now : loggedAt;
          this.findHolder(name, (holder) => {
            if (isLogged) {
              const after = now - startedAt;
              log({ event: 'port-unavailable', port: name, error: String(error), holder, after });
            }
          });
        }
      }
      // eslint-disable-next-line no-await-in-loop
      await this.wait(delay);
      delay = this.isReleasing ? portOptions.firstDelay : Math.min(2 * delay, portOptions.maxDelay);
    }
    return undefined;
  }

  /** Makes no further attempts. */
  stop(): void {
    this.isStopped = true;
    this.waits.forEach((resolve, timer) => {
      timer.cancel();
      resolve();
    });
    this.waits.clear();
  }

  /** The holder is looked up beside the attempts, which must not wait for its answer. */
  private findHolder(port: string, onFound: (holder: string | undefined) => void): void {
    const found = this.parts.findHolder?.(port) ?? Promise.resolve(undefined);
    const finish = (holder: PortHolder | undefined) => {
      this.isReleasing = holder?.isReleasing ?? false;
      onFound(holder?.description);
    };
    found.then(finish, () => finish(undefined));
  }

  private wait(delay: Milliseconds): Promise<void> {
    return new Promise((resolve) => {
      const timer = this.parts.clock.setTimer(delay, () => {
        this.waits.delete(timer);
        resolve();
      });
      this.waits.set(timer, resolve);
    });
  }
}
