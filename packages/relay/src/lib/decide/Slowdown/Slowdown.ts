import type { Milliseconds } from '@apricotrill/utils';
import type { SlowdownPersistence } from './SlowdownPersistence.js';
import { slowdownOptions } from './slowdownOptions.js';

/** How long work takes as usual. */
const USUAL = 1;

/** Points at which the slowdown over a period is evaluated. */
const PERIOD_POINTS = 4;

interface Statement {
  at: Milliseconds;
  value: number;
}

function getBounded(value: number): number {
  const { min, max } = slowdownOptions;
  return Math.min(max, Math.max(min, value));
}

/**
 * Estimates how long work takes on one replica, relative to the usual time, from what it states.
 *
 * Load pattern: replicas share their machines, and some of the time work takes several times as long for
 * half a second. A statement arrives with the first byte of each response and is up to half a second old
 * when the next request is placed. It counts less as it ages; without a recent one, the replica's
 * long-run mean is expected. A replica that states nothing always has a slowdown of exactly 1.
 *
 * @example
 * ```ts
 * slowdown.record(2.5, clock.now());
 * slowdown.getValue(clock.now()); // 2.5, and less the later it is asked for
 * ```
 */
export class Slowdown {
  /** The newest statements, in the order of their arrival. */
  private readonly statements: Statement[] = [];

  private mean = USUAL;

  private meanTime = slowdownOptions.initialMeanTime;

  /** @param persistence - shared by the replicas of a service */
  constructor(private readonly persistence: SlowdownPersistence) {}

  /** Whether the replica has stated a slowdown. */
  get isStated(): boolean {
    return this.statements.length > 0;
  }

  /** When the replica last stated its slowdown. */
  get statedAt(): Milliseconds {
    return this.statements.at(-1)?.at ?? 0;
  }

  record(stated: number, now: Milliseconds): void {
    const value = getBounded(stated);
    const last = this.statements.at(-1);
    this.persistence.recordStated(value);
    if (last !== undefined && now > last.at) {
      const gap = now - last.at;
      this.updateMean(last.value, Math.min(gap, slowdownOptions.maxStatementTime));
      this.persistence.record(gap, last.value - this.mean, value - this.mean);
    }
    this.statements.push({ at: now, value });
    if (this.statements.length > slowdownOptions.maxStatements) {
      this.statements.shift();
    }
  }

  /** The expected slowdown at a time; 1 if none was ever stated. */
  getValue(at: Milliseconds): number {
    const nearest = this.findNearest(at);
    if (nearest === undefined) {
      return USUAL;
    }
    const share = this.persistence.getShare(Math.abs(at - nearest.at));
    return getBounded(this.mean + share * (nearest.value - this.mean));
  }

  /** How much work was done in a period, relative to what would have been done at a slowdown of 1. */
  getSpeed(from: Milliseconds, to: Milliseconds): number {
    if (!this.isStated) {
      return USUAL;
    }
    const length = Math.max(0, to - from);
    let sum = 0;
    for (let point = 0; point < PERIOD_POINTS; point += 1) {
      sum += 1 / this.getValue(from + (length * (point + 0.5)) / PERIOD_POINTS);
    }
    return sum / PERIOD_POINTS;
  }

  private findNearest(at: Milliseconds): Statement | undefined {
    let index = this.statements.length - 1;
    while (index > 0 && this.statements[index]!.at > at) {
      index -= 1;
    }
    const [before, after] = [this.statements[index], this.statements[index + 1]];
    const isAfterNearer =
      before !== undefined && after !== undefined && after.at - at < at - before.at;
    return isAfterNearer ? after : before;
  }

  private updateMean(value: number, time: Milliseconds): void {
    this.meanTime = Math.min(slowdownOptions.meanTime, this.meanTime + time);
    this.mean += (time / this.meanTime) * (value - this.mean);
  }
}
