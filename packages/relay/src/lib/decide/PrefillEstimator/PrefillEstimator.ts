import type { Milliseconds } from '@apricotrill/utils';
import type { EngineProfile } from '../../config/RelayConfiguration.js';
import { PrefillRate } from '../PrefillRate/PrefillRate.js';
import type { ReplicaTrial } from '../ReplicaTrial/ReplicaTrial.js';
import type { RunningAttempt } from '../RequestRecord.js';
import type { Slowdown } from '../Slowdown/Slowdown.js';
import type { EngineStatistics } from './EngineStatistics.js';

/**
 * A wait for fewer tokens than this is a measurement of the setup time, any other is a measurement
 * of the prefill rate.
 */
const MIN_RATE_SAMPLE_TOKENS = 1_500;

/** A first token later than the prefill of the largest prompt by this is overdue: a few steps. */
const OVERDUE_TOLERANCE: Milliseconds = 30;

/** Ratio of an engine's prefill rate to the mean of its service up to which the engine seems slow. */
const MAX_SLOW_RATIO = 0.5;

interface OverdueEstimate {
  at: Milliseconds;
  inFlight: number;
  lastPrefillAt: Milliseconds;
  slowdown: number;
}

function getLargest(pending: readonly RunningAttempt[]): number {
  return Math.max(...pending.map(({ missingTokens }) => missingTokens));
}

/**
 * Estimates the prefill rate of one engine and its progress with the prompts sent to it. Measurements
 * are normalised by the slowdown that was in force, so that a spell on the engine's machine does not
 * count as a lasting property of the engine.
 */
export class PrefillEstimator {
  /** Starts at the mean of the service; engines of one service differ in speed. At a slowdown of 1. */
  private readonly rate: PrefillRate;

  /** When the engine last finished the prefill of a prompt. */
  private lastPrefillAt: Milliseconds = 0;

  /** The last result of the estimate from overdue first tokens, with what it depends on. */
  private overdue: OverdueEstimate | undefined;

  /** The trial of the engine in which its rate was last measured. */
  private round = 0;

  constructor(
    private readonly statistics: EngineStatistics,
    private readonly trial: ReplicaTrial,
    private readonly slowdown: Slowdown,
    /** The attempts in flight at the engine. */
    private readonly running: ReadonlySet<RunningAttempt>,
  ) {
    this.rate = new PrefillRate(() => statistics.prefillRate.value);
  }

  /** Prompt tokens that the engine prefills per millisecond now, while it also decodes. */
  get prefillRate(): number {
    return this.usualPrefillRate / this.currentSlowdown;
  }

  /** The prefill rate at a slowdown of 1. */
  get usualPrefillRate(): number {
    return this.trial.isDue && this.seemsSlow ? this.servicePrefillRate : this.rate.value;
  }

  /** Mean prefill rate of all engines of the service, at a slowdown of 1. */
  get servicePrefillRate(): number {
    return this.statistics.prefillRate.value;
  }

  get profile(): EngineProfile | undefined {
    return this.statistics.profile;
  }

  /** Expected wait for a first token if this many tokens have to be prefilled first. */
  getExpectedWait(tokens: number): Milliseconds {
    return this.statistics.setupTime.value * this.currentSlowdown + tokens / this.prefillRate;
  }

  /** What the current slowdown adds to the setup time of a request. */
  get setupDelay(): Milliseconds {
    return this.statistics.setupTime.value * (this.currentSlowdown - 1);
  }

  /** Records a first token, which shows that the prompt has been prefilled. */
  recordPrefill(attempt: RunningAttempt, now: Milliseconds): void {
    this.lastPrefillAt = now;
    if (attempt.isInformative) {
      this.updateStatistics(attempt, now);
    }
  }

  /**
   * Prompt tokens that the engine still has to prefill. Engines prefill one prompt after the other,
   * so its progress on the pending prompts is at most what it can prefill since it finished the
   * last one.
   *
   * Measured since the oldest pending prompt was sent, the time that this prompt spent in the queue
   * would count as prefill. An engine with eight pending prompts seemed idle after 0.6 s and got
   * the next ones as well, and first tokens that were expected within 150 ms took 1,500 ms.
   */
  getBacklog(now: Milliseconds): number {
    const { pending } = this;
    if (pending.length === 0) {
      return 0;
    }
    const tokens = pending.reduce((sum, { missingTokens }) => sum + missingTokens, 0);
    const busySince = this.getBusySince(pending);
    const elapsed = Math.max(0, now - busySince) * this.slowdown.getSpeed(busySince, now);
    const progress = elapsed * this.usualPrefillRate;
    // Without a first token, no prompt has been prefilled to its end.
    const most = this.slowdown.isStated ? getLargest(pending) : Number.POSITIVE_INFINITY;
    return Math.max(0, tokens - Math.min(progress, most));
  }

  /**
   * How long work is expected to take on the engine's machine, relative to the usual time: what it
   * stated, or more if a first token is overdue; 1 if it states nothing.
   *
   * Load pattern: an engine states its slowdown with first tokens. When a spell begins in the middle of
   * a prompt, the next one takes several times as long, and until then all that it stated is from before.
   */
  getSlowdown(now: Milliseconds): number {
    const stated = this.slowdown.getValue(now);
    return this.slowdown.isStated ? Math.max(stated, this.getCachedOverdueSlowdown(now)) : stated;
  }

  /** The choice for one request asks for it many times. */
  private getCachedOverdueSlowdown(now: Milliseconds): number {
    const { lastPrefillAt, overdue } = this;
    const inFlight = this.running.size;
    const isCurrent =
      overdue?.at === now &&
      overdue.inFlight === inFlight &&
      overdue.lastPrefillAt === lastPrefillAt;
    if (isCurrent) {
      return overdue.slowdown;
    }
    const slowdown = this.getOverdueSlowdown(now);
    this.overdue = { at: now, inFlight, lastPrefillAt, slowdown };
    return slowdown;
  }

  /**
   * The least slowdown that explains that no first token has arrived yet, up to the highest that replicas
   * of the service state; what takes longer has other reasons, such as a lack of memory.
   */
  private getOverdueSlowdown(now: Milliseconds): number {
    const { pending, profile, statistics } = this;
    // Prompts that wait for a slot are not late because of the machine.
    if (profile === undefined || pending.length === 0 || this.running.size > profile.slots) {
      return 0;
    }
    const elapsed = now - this.getBusySince(pending);
    const usual = getLargest(pending) / this.usualPrefillRate + OVERDUE_TOLERANCE;
    return Math.min(statistics.slowdownPersistence.highestStated, elapsed / usual);
  }

  private get pending(): RunningAttempt[] {
    return [...this.running].filter(({ isResponding }) => !isResponding);
  }

  /** Since when the engine has been busy with one of the pending prompts. */
  private getBusySince(pending: readonly RunningAttempt[]): Milliseconds {
    const startedAt = Math.min(...pending.map((attempt) => this.getEarliestStart(attempt)));
    return Math.max(startedAt, this.lastPrefillAt);
  }

  /** The slowdown now. */
  get currentSlowdown(): number {
    return this.getSlowdown(this.statistics.clock.now());
  }

  private get seemsSlow(): boolean {
    return this.rate.value < this.servicePrefillRate * MAX_SLOW_RATIO;
  }

  /** When an idle engine would start the prefill of an attempt. */
  private getEarliestStart({ sentAt, copyTime }: RunningAttempt): Milliseconds {
    return sentAt + copyTime + this.statistics.setupTime.value;
  }

  private updateStatistics(
    { sentAt, tokensAhead, copyTime }: RunningAttempt,
    now: Milliseconds,
  ): void {
    const { prefillRate, setupTime } = this.statistics;
    const speed = this.slowdown.getSpeed(sentAt + copyTime, now);
    const wait = Math.max(0, now - sentAt - copyTime) * speed;
    if (tokensAhead < MIN_RATE_SAMPLE_TOKENS) {
      setupTime.record(wait - tokensAhead / this.usualPrefillRate);
      return;
    }
    if (this.slowdown.isStated) {
      setupTime.recordLong(tokensAhead, wait);
    }
    const time = wait - setupTime.value;
    this.discardOutdated();
    this.rate.record(tokensAhead, time);
    prefillRate.record(tokensAhead, time);
  }

  private discardOutdated(): void {
    const { round } = this.trial;
    if (this.round !== round && this.seemsSlow) {
      this.rate.reset();
    }
    this.round = round;
  }
}
