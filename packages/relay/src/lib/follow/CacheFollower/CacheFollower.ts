import type { Clock, Milliseconds, Random } from '@apricotrill/utils';
import type { RelayReplica } from '../../config/RelayConfiguration.js';
import type { CacheChange } from '../../decide/messages.js';

/** What an engine tells of its cache. */
export type CacheUpdate =
  | { kind: 'changes'; epoch: string; next: string; hasGap: boolean; changes: CacheChange[] }
  /** It has as many listeners as it takes. */
  | { kind: 'refused' }
  /** Another life of the replica answers, of which the list of replicas doesn't tell yet. */
  | { kind: 'restarted' };

/** Everything that an engine keeps. */
export interface CacheListing {
  epoch: string;
  next: string;
  parts: CacheChange[];
}

/** Everything that an engine keeps, or that another life of it has answered. */
export type CacheListResult = ({ kind: 'listed' } & CacheListing) | { kind: 'restarted' };

/**
 * The engines' own word on what they keep.
 *
 * @public
 */
export interface CacheSource {
  /**
   * Waits for changes after a place in the engine's events.
   *
   * @param since - the place; undefined for where the engine's memory of them begins
   * @throws StepError when no whole answer came
   */
  readChanges(
    replica: RelayReplica,
    since: string | undefined,
    wait: Milliseconds,
    signal: AbortSignal,
  ): Promise<CacheUpdate>;
  /** @throws StepError when no whole answer came */
  list(replica: RelayReplica, signal: AbortSignal): Promise<CacheListResult>;
}

/** How caches are followed. */
export const cacheOptions = {
  /** How long one call waits at the engine for something to tell. */
  wait: 1_000 satisfies Milliseconds,
  /**
   * Between two calls to one engine: each event would end the wait at once, and a busy engine has
   * many a second. What a daemon sent itself it expects without being told.
   */
  interval: 400 satisfies Milliseconds,
  /** After a call that failed, or was refused since others listen. */
  pause: 1_500 satisfies Milliseconds,
};

/** What a follower of one engine's cache tells. */
export interface CacheListener {
  onChanges(changes: CacheChange[]): void;
  onListed(parts: CacheChange[], reason: string): void;
  onLost(): void;
  /** The engine gives no answer; told once until it does again. */
  onFailed(error: Error): void;
}

/** What a follower is made of. */
export interface CacheFollowerParts {
  source: CacheSource;
  replica: RelayReplica;
  clock: Clock;
  random: Random;
  listener: CacheListener;
}

/**
 * Follows what one engine keeps of prompts. Events come late and with gaps; an engine that started
 * again keeps nothing. After a gap everything is listed once.
 */
export class CacheFollower {
  private readonly abort = new AbortController();

  private epoch: string | undefined;

  private next: string | undefined;

  private isFailing = false;

  constructor(private readonly parts: CacheFollowerParts) {}

  async run(): Promise<void> {
    const { clock, random } = this.parts;
    // Daemons that start together must not ask each engine in the same moment.
    await this.sleep(random.next() * cacheOptions.interval);
    while (!this.abort.signal.aborted) {
      const started = clock.now();
      // eslint-disable-next-line no-await-in-loop
      const isFine = await this.step().catch((error: unknown) => this.fail(error));
      const left = started + cacheOptions.interval - clock.now();
      // eslint-disable-next-line no-await-in-loop
      await this.sleep(isFine ? left : cacheOptions.pause * (0.5 + random.next()));
    }
  }

  dispose(): void {
    this.abort.abort();
  }

  private async step(): Promise<boolean> {
    const { source, replica, listener } = this.parts;
    const { signal } = this.abort;
    const news = await source.readChanges(replica, this.next, cacheOptions.wait, signal);
    this.isFailing = false;
    if (signal.aborted || news.kind === 'refused') {
      return false;
    }
    if (news.kind === 'restarted') {
      return this.noteOtherLife();
    }
    if (this.epoch !== undefined && news.epoch !== this.epoch) {
      listener.onLost();
      return this.list('the engine started again');
    }
    if (news.hasGap) {
      return this.list('events are missing');
    }
    const isFirst = this.epoch === undefined;
    this.epoch = news.epoch;
    this.next = news.next;
    // The first word counts also where it is that the engine keeps nothing.
    if (isFirst || news.changes.length > 0) {
      listener.onChanges(news.changes);
    }
    return true;
  }

  private fail(error: unknown): boolean {
    if (!this.isFailing && !this.abort.signal.aborted) {
      this.isFailing = true;
      this.parts.listener.onFailed(error instanceof Error ? error : new Error(String(error)));
    }
    return false;
  }

  private async list(reason: string): Promise<boolean> {
    const { source, replica, listener } = this.parts;
    const listed = await source.list(replica, this.abort.signal);
    if (this.abort.signal.aborted) {
      return false;
    }
    if (listed.kind === 'restarted') {
      return this.noteOtherLife();
    }
    this.epoch = listed.epoch;
    this.next = listed.next;
    listener.onListed(listed.parts, reason);
    return true;
  }

  /** What the replica keeps now is the next life's to tell; of this one nothing is left. */
  private noteOtherLife(): boolean {
    this.epoch = undefined;
    this.next = undefined;
    this.parts.listener.onLost();
    return false;
  }

  private sleep(span: Milliseconds): Promise<void> {
    return new Promise((resolve) => {
      if (span <= 0) {
        resolve();
      } else {
        this.parts.clock.setTimer(span, resolve);
      }
    });
  }
}
