import type { Clock, Milliseconds, Random } from '@apricotrill/utils';
import type { RelayReplica } from '../../config/RelayConfiguration.js';
import type { CacheChange } from '../../decide/messages.js';

/** Response of an engine to a request for changes of its cache. */
export type CacheUpdate =
  | { kind: 'changes'; epoch: string; next: string; hasGap: boolean; changes: CacheChange[] }
  /** The engine already has its maximum number of listeners. */
  | { kind: 'refused' }
  /** The replica has restarted, which the list of replicas does not show yet. */
  | { kind: 'restarted' };

/** The entire cache content of an engine. */
export interface CacheListing {
  epoch: string;
  next: string;
  parts: CacheChange[];
}

/** The entire cache content of an engine, or the information that its replica has restarted. */
export type CacheListResult = ({ kind: 'listed' } & CacheListing) | { kind: 'restarted' };

/**
 * Reads the caches of engines.
 *
 * @public
 */
export interface CacheSource {
  /**
   * Waits for changes after a position in the engine's event log.
   *
   * @param since - the position; undefined for the start of the event log
   * @throws StepError if there is no complete response
   */
  readChanges(
    replica: RelayReplica,
    since: string | undefined,
    wait: Milliseconds,
    signal: AbortSignal,
  ): Promise<CacheUpdate>;
  /** @throws StepError if there is no complete response */
  list(replica: RelayReplica, signal: AbortSignal): Promise<CacheListResult>;
}

/** Options of a cache follower. */
export const cacheFollowerOptions = {
  /** How long a call waits at the engine for changes. */
  maxWait: 1_000 satisfies Milliseconds,
  /**
   * Minimum time between the starts of two calls to an engine. Each event ends the wait of a call, and
   * a busy engine has many events per second. A daemon does not depend on events for the prompts that
   * it has sent itself, as it expects them in the cache anyway.
   */
  minInterval: 400 satisfies Milliseconds,
  /** Delay after a call that has failed, or was refused because of the number of listeners. */
  retryDelay: 1_500 satisfies Milliseconds,
};

/** Receives the changes that a follower reads from an engine's cache. */
export interface CacheListener {
  onChanges(changes: CacheChange[]): void;
  /** Called with the entire content of the cache, which replaces everything known before. */
  onListed(parts: CacheChange[], reason: string): void;
  /** Called when the engine has restarted, so that nothing is known about its cache. */
  onLost(): void;
  /** Called once when calls to the engine begin to fail, until one succeeds again. */
  onFailed(error: Error): void;
  /** Called with an error of another callback, after which the cache is listed. */
  onFault(error: unknown): void;
}

/** Settings of a cache follower. */
export interface CacheFollowerSettings {
  source: CacheSource;
  replica: RelayReplica;
  clock: Clock;
  random: Random;
  listener: CacheListener;
}

/**
 * Follows the prompt cache of one engine. Events may be late or missing, and a restart empties the
 * cache; after a gap or a restart, the entire content is listed once, as after an error of the listener.
 */
export class CacheFollower {
  private readonly abortController = new AbortController();

  private epoch: string | undefined;

  private next: string | undefined;

  private isFailing = false;

  /** Whether the listener could not handle an update, so that it has to be told everything. */
  private isListenerBehind = false;

  constructor(private readonly settings: CacheFollowerSettings) {}

  async run(): Promise<void> {
    const { clock, random } = this.settings;
    // A random delay keeps daemons that start together from calling an engine at the same moment.
    await this.sleep(random.next() * cacheFollowerOptions.minInterval);
    while (!this.abortController.signal.aborted) {
      const startedAt = clock.now();
      // eslint-disable-next-line no-await-in-loop
      const isSuccess = await this.poll().catch((error: unknown) => this.handleError(error));
      const remaining = startedAt + cacheFollowerOptions.minInterval - clock.now();
      // eslint-disable-next-line no-await-in-loop
      await this.sleep(
        isSuccess ? remaining : cacheFollowerOptions.retryDelay * (0.5 + random.next()),
      );
    }
  }

  dispose(): void {
    this.abortController.abort();
  }

  private async poll(): Promise<boolean> {
    const { source, replica } = this.settings;
    const { signal } = this.abortController;
    if (this.isListenerBehind) {
      return this.list('an update could not be handled');
    }
    const update = await source.readChanges(
      replica,
      this.next,
      cacheFollowerOptions.maxWait,
      signal,
    );
    this.isFailing = false;
    if (signal.aborted || update.kind === 'refused') {
      return false;
    }
    if (update.kind === 'restarted') {
      return this.handleRestart();
    }
    if (this.epoch !== undefined && update.epoch !== this.epoch) {
      this.notify((listener) => listener.onLost());
      return this.list('the engine restarted');
    }
    if (update.hasGap) {
      return this.list('events were missed');
    }
    const isFirst = this.epoch === undefined;
    this.epoch = update.epoch;
    this.next = update.next;
    // The first response is reported even without changes: it shows that the cache is empty.
    if (isFirst || update.changes.length > 0) {
      this.notify((listener) => listener.onChanges(update.changes));
    }
    return true;
  }

  private handleError(error: unknown): boolean {
    if (!this.isFailing && !this.abortController.signal.aborted) {
      this.isFailing = true;
      const reason = error instanceof Error ? error : new Error(String(error));
      try {
        this.settings.listener.onFailed(reason);
      } catch (fault) {
        this.settings.listener.onFault(fault);
      }
    }
    return false;
  }

  private async list(reason: string): Promise<boolean> {
    const { source, replica } = this.settings;
    const listed = await source.list(replica, this.abortController.signal);
    if (this.abortController.signal.aborted) {
      return false;
    }
    if (listed.kind === 'restarted') {
      return this.handleRestart();
    }
    this.epoch = listed.epoch;
    this.next = listed.next;
    this.isListenerBehind = false;
    this.notify((listener) => listener.onListed(listed.parts, reason));
    return !this.isListenerBehind;
  }

  /** Resets the position, since neither the cache nor the event log has survived the restart. */
  private handleRestart(): boolean {
    this.epoch = undefined;
    this.next = undefined;
    this.notify((listener) => listener.onLost());
    return false;
  }

  private notify(call: (listener: CacheListener) => void): void {
    const { listener } = this.settings;
    try {
      call(listener);
    } catch (error) {
      this.isListenerBehind = true;
      listener.onFault(error);
    }
  }

  private sleep(duration: Milliseconds): Promise<void> {
    return new Promise((resolve) => {
      if (duration <= 0) {
        resolve();
      } else {
        this.settings.clock.setTimer(duration, resolve);
      }
    });
  }
}
