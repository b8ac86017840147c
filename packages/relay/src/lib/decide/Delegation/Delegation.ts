import type { Clock, Milliseconds, Timer } from '@apricotrill/utils';
import type { AttemptKeys } from '../AttemptKeys.js';
import type { Fleet } from '../Fleet/Fleet.js';
import type { ReplicaGroup } from '../groups/getReplicaGroups.js';
import type { PlacementEffect, PlacementResponse } from '../messages.js';
import type { PlacementOptions } from '../placementOptions.js';
import type { RequestRecord } from '../RequestRecord.js';

/** What the delegation is made of. */
export interface DelegationParts {
  clock: Clock;
  emit: (effect: PlacementEffect) => void;
  options: PlacementOptions;
  fleet: Fleet;
  keys: AttemptKeys;
  /** A placer gave no answer in time. */
  onSilent: (record: RequestRecord) => void;
}

/** A request that waits for a placer's answer. */
export interface OpenAsk {
  record: RequestRecord;
  placer: string;
  askedAt: Milliseconds;
  timer: Timer;
}

/**
 * The requests of this daemon for which another one chooses the replica.
 *
 * Load pattern: some 65 daemons before 42 engines, each with five requests a second. By itself a
 * daemon knows of one request in 65; told of all, it spends its time on listening, and still hears
 * a second late. Engines that it believes idle have a queue, and every belief that is learned from
 * waits is wrong. So one daemon chooses for all requests of a group of engines, and knows all that
 * is under way there. An answer that doesn't come is done without: the deputy is asked, then the
 * daemon chooses by what it knows itself.
 */
export class Delegation {
  private readonly open = new Map<string, OpenAsk>();

  /** Placers that gave no answer: until when they aren't asked, and how long that is. */
  private readonly silent = new Map<string, { until: Milliseconds; span: Milliseconds }>();

  constructor(private readonly parts: DelegationParts) {}

  /** Requests that wait for an answer. */
  get size(): number {
    return this.open.size;
  }

  /**
   * The daemon that is to choose for a request: this one's own name where it is the placer, undefined
   * where nobody else will answer.
   */
  findPlacer(record: RequestRecord, { name }: ReplicaGroup): string | undefined {
    const now = this.parts.clock.now();
    return this.parts.fleet
      .getPlacers(name)
      .find(
        (daemon) =>
          !record.queriedPlacers.has(daemon) && now >= (this.silent.get(daemon)?.until ?? 0),
      );
  }

  ask(record: RequestRecord, placer: string): void {
    const { clock, emit, keys, options } = this.parts;
    const { service, rank, latencyTarget, pauseTarget, prompt } = record.request;
    const key = keys.next();
    record.queriedPlacers.add(placer);
    const timer = clock.setTimer(options.askTimeout, () => this.expire(key));
    this.open.set(key, { record, placer, askedAt: clock.now(), timer });
    const wish = { service, rank, latencyTarget, pauseTarget, prompt };
    const tried = [...record.triedReplicas];
    const ask = { key, wish, availabilityZone: options.availabilityZone, tried };
    emit({ kind: 'share', to: placer, update: { kind: 'ask', query: ask } });
  }

  /** @returns undefined where nothing waits for the answer any more; then its placer is told so */
  take(placer: string, { key, placement }: PlacementResponse): OpenAsk | undefined {
    this.silent.delete(placer);
    const ask = this.open.get(key);
    if (ask?.placer !== placer) {
      if (placement !== undefined) {
        this.tellUnused(placer, key);
      }
      return undefined;
    }
    this.open.delete(key);
    ask.timer.cancel();
    return ask;
  }

  /** The placer need not count an attempt that won't be made. */
  tellUnused(placer: string, key: string): void {
    this.parts.emit({ kind: 'share', to: placer, update: { kind: 'ended', key } });
  }

  /** The request is over. */
  drop(record: RequestRecord): void {
    [...this.open]
      .filter(([, ask]) => ask.record === record)
      .forEach(([key, { placer, timer }]) => {
        timer.cancel();
        this.open.delete(key);
        this.tellUnused(placer, key);
      });
  }

  /** Each time that it is asked in vain costs a request the wait: a dead one is asked ever less. */
  private getSpan(last: Milliseconds | undefined): Milliseconds {
    const { silentPlacer, longestSilentPlacer } = this.parts.options;
    return last === undefined ? silentPlacer : Math.min(longestSilentPlacer, last * 2);
  }

  private expire(key: string): void {
    const ask = this.open.get(key);
    if (ask === undefined) {
      return;
    }
    const { clock, emit, onSilent } = this.parts;
    this.open.delete(key);
    const last = this.silent.get(ask.placer);
    // Asks that ran out together count once.
    const isCounted = last !== undefined && ask.askedAt < last.until;
    const span = isCounted ? last.span : this.getSpan(last?.span);
    if (!isCounted) {
      this.silent.set(ask.placer, { until: clock.now() + span, span });
    }
    emit({ kind: 'placer-silent', peer: ask.placer, span });
    onSilent(ask.record);
  }
}
