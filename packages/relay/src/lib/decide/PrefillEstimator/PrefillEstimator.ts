import type { Milliseconds } from '@apricotrill/utils';
import type { EngineProfile } from '../../config/RelayConfiguration.js';
import { PrefillRate } from '../PrefillRate/PrefillRate.js';
import type { ReplicaTrial } from '../ReplicaTrial/ReplicaTrial.js';
import type { RunningAttempt } from '../RequestRecord.js';
import type { EngineStatistics } from './EngineStatistics.js';

/**
 * A wait for fewer tokens than this is a measurement of the setup time, any other is a measurement
 * of the prefill rate.
 */
const MIN_RATE_SAMPLE_TOKENS = 1_500;

/** Ratio of an engine's prefill rate to the mean of its service up to which the engine seems slow. */
const MAX_SLOW_RATIO = 0.5;

/** Estimates the prefill rate of one engine and its progress with the prompts sent to it. */
export class PrefillEstimator {
  /** Starts at the mean of the service; engines of one service differ in speed. */
  private readonly rate: PrefillRate;

  /** When the engine last finished the prefill of a prompt. */
  private lastPrefillAt: Milliseconds = 0;

  /** The trial of the engine in which its rate was last measured. */
  private round = 0;

  constructor(
    private readonly statistics: EngineStatistics,
    private readonly trial: ReplicaTrial,
  ) {
    this.rate = new PrefillRate(() => statistics.prefillRate.value);
  }

  /** Prompt tokens that the engine prefills per millisecond while it also decodes. */
  get prefillRate(): number {
    return this.trial.isDue && this.seemsSlow ? this.servicePrefillRate : this.rate.value;
  }

  /** Mean prefill rate of all engines of the service. */
  get servicePrefillRate(): number {
    return this.statistics.prefillRate.value;
  }

  get profile(): EngineProfile | undefined {
    return this.statistics.profile;
  }

  /** Expected wait for a first token if this many tokens have to be prefilled first. */
  getExpectedWait(tokens: number): Milliseconds {
    return this.statistics.setupTime.value + tokens / this.prefillRate;
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
  getBacklog(pending: readonly RunningAttempt[], now: Milliseconds): number {
    if (pending.length === 0) {
      return 0;
    }
    const tokens = pending.reduce((sum, { missingTokens }) => sum + missingTokens, 0);
    const startedAt = Math.min(...pending.map((attempt) => this.getEarliestStart(attempt)));
    const elapsed = Math.max(0, now - Math.max(startedAt, this.lastPrefillAt));
    return Math.max(0, tokens - elapsed * this.prefillRate);
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
    const wait = Math.max(0, now - sentAt - copyTime);
    if (tokensAhead < MIN_RATE_SAMPLE_TOKENS) {
      setupTime.record(wait - tokensAhead / this.prefillRate);
      return;
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
