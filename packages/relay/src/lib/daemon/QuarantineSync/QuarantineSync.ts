import type { Clock, Milliseconds, Random, Timer } from '@apricotrill/utils';
import type { PlacementMessage, QuarantinedContent } from '../../decide/messages.js';
import type { RelayLog } from '../../observe/RelayEvent.js';
import type { QuarantineStore } from '../QuarantineStore.js';

/** Retry delays and queue limit for calls to the store. */
export const syncOptions = {
  initialDelay: 500 satisfies Milliseconds,
  /** Upper bound of the exponential backoff. */
  maxDelay: 8_000 satisfies Milliseconds,
  /** Limit on concurrent writes; further entries are not stored. */
  maxPendingWrites: 50,
};

/** Dependencies of {@link QuarantineSync}. */
export interface QuarantineSyncParts {
  clock: Clock;
  random: Random;
  log: RelayLog;
  store: QuarantineStore;
  dispatch: (message: PlacementMessage) => void;
}

/**
 * Writes quarantined content to the store, and loads it at startup, so that it survives a
 * restart of all daemons.
 */
export class QuarantineSync {
  private readonly timers = new Set<Timer>();

  /** Entries that this daemon has written, with the times at which they expire. */
  private readonly saved = new Map<string, { content: QuarantinedContent; until: Milliseconds }>();

  private pendingWrites = 0;

  private isDisposed = false;

  constructor(private readonly parts: QuarantineSyncParts) {}

  /** Loads the entries, retrying until the store responds, and removes expired ones. */
  async load(): Promise<void> {
    const { store, dispatch } = this.parts;
    const contents = await this.retry('read quarantine', () => store.list());
    if (contents === undefined) {
      return;
    }
    const expired = contents.filter(({ remaining }) => remaining <= 0);
    dispatch({
      kind: 'quarantine',
      contents: contents.filter((content) => !expired.includes(content)),
    });
    await Promise.all(expired.map(({ fingerprint }) => this.remove(fingerprint)));
  }

  /** Releases entries whose term an operator has ended in the store. */
  async release(): Promise<void> {
    const { store, dispatch } = this.parts;
    const contents = await this.retry('read quarantine', () => store.list());
    const ended = contents?.filter(({ remaining }) => remaining <= 0) ?? [];
    ended.forEach(({ fingerprint }) => dispatch({ kind: 'release', fingerprint }));
    await Promise.all(ended.map(({ fingerprint }) => this.remove(fingerprint)));
  }

  /** Writes an entry, retrying until the store responds. */
  async save(content: QuarantinedContent): Promise<void> {
    if (this.pendingWrites >= syncOptions.maxPendingWrites) {
      return;
    }
    const until = this.parts.clock.now() + content.remaining;
    this.saved.set(content.fingerprint, { content, until });
    this.pendingWrites += 1;
    await this.retry('write quarantine', () => this.parts.store.add(content));
    this.pendingWrites -= 1;
  }

  /** Writes the entries of this daemon again, since the store has come back from an older copy. */
  async saveAgain(): Promise<void> {
    const now = this.parts.clock.now();
    const entries = [...this.saved];
    this.saved.clear();
    await Promise.all(
      entries
        .filter(([, { until }]) => until > now)
        .map(([, { content, until }]) => this.save({ ...content, remaining: until - now })),
    );
  }

  dispose(): void {
    this.isDisposed = true;
    this.timers.forEach((timer) => timer.cancel());
  }

  /** Removes an entry; a failure is logged and not retried. */
  async remove(fingerprint: string): Promise<void> {
    this.saved.delete(fingerprint);
    try {
      await this.parts.store.remove(fingerprint);
    } catch (error) {
      // No retry: the next daemon to start removes the entry.
      this.logFault('remove quarantine', error);
    }
  }

  /** @returns the result, or undefined if disposed before a call succeeds */
  private async retry<Result>(
    step: string,
    call: () => Promise<Result>,
  ): Promise<Result | undefined> {
    let retryDelay = syncOptions.initialDelay;
    while (!this.isDisposed) {
      try {
        // Retries are sequential.
        // eslint-disable-next-line no-await-in-loop
        return await call();
      } catch (error) {
        this.logFault(step, error);
      }
      // eslint-disable-next-line no-await-in-loop
      await this.delay(retryDelay * (0.5 + this.parts.random.next()));
      retryDelay = Math.min(syncOptions.maxDelay, retryDelay * 2);
    }
    return undefined;
  }

  private delay(duration: Milliseconds): Promise<void> {
    return new Promise((resolve) => {
      const timer = this.parts.clock.setTimer(duration, () => {
        this.timers.delete(timer);
        resolve();
      });
      this.timers.add(timer);
    });
  }

  private logFault(step: string, error: unknown): void {
    if (!this.isDisposed) {
      this.parts.log({ event: 'fault', step, error: String(error) });
    }
  }
}
