import { createRandom } from '@apricotrill/utils';
import type { ManualClock, Milliseconds } from '@apricotrill/utils';

/** A load of requests that must not run twice. */
export interface LoadSettings {
  claimsPerSecond: number;
  /** How long a granted request runs. */
  runTime: Milliseconds;
  /** How long the load runs before and during the measurement. */
  warmUp: Milliseconds;
  measuredTime: Milliseconds;
  seed: number;
}

/**
 * Runs one request. Resolves once it may run (or with false if it may not), and reports its outcome
 * after it ran.
 */
export type RequestAct = (index: number, random: number) => Promise<boolean>;

/** Time in milliseconds for the last claims to end: no claim takes longer. */
const DRAIN_TIME = 3000;

function drain(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

/**
 * Starts requests at random times (exponential gaps) and records the latency before each could run.
 */
export class ClaimLoad {
  /** Latencies of the measured requests that were granted. */
  readonly latencies: Milliseconds[] = [];

  measuredRequests = 0;

  private readonly random;

  private started = 0;

  private isMeasured = false;

  constructor(
    private readonly clock: ManualClock,
    private readonly settings: LoadSettings,
    private readonly act: RequestAct,
  ) {
    this.random = createRandom(settings.seed);
  }

  /**
   * @param onMeasure - called when the warm-up ends
   * @param onMeasured - called when the measurement ends; the last requests end after it
   */
  async run(onMeasure: () => void, onMeasured: () => void): Promise<void> {
    const { warmUp, measuredTime } = this.settings;
    this.scheduleNext();
    await this.advance(warmUp);
    onMeasure();
    this.isMeasured = true;
    await this.advance(measuredTime);
    this.isMeasured = false;
    onMeasured();
    await this.advance(DRAIN_TIME);
  }

  private scheduleNext(): void {
    const mean = 1000 / this.settings.claimsPerSecond;
    const gap = -Math.log(1 - this.random.next()) * mean;
    this.clock.setTimer(gap, () => {
      this.scheduleNext();
      this.runOne();
    });
  }

  private async runOne(): Promise<void> {
    this.started += 1;
    const { isMeasured } = this;
    this.measuredRequests += isMeasured ? 1 : 0;
    const startedAt = this.clock.now();
    const isGranted = await this.act(this.started, this.random.next());
    if (isMeasured && isGranted) {
      this.latencies.push(this.clock.now() - startedAt);
    }
  }

  private async advance(span: Milliseconds): Promise<void> {
    const end = this.clock.now() + span;
    while (this.clock.runNext(end)) {
      // One timer at a time, each with everything that follows from it.
      // eslint-disable-next-line no-await-in-loop
      await drain();
    }
    this.clock.advance(end - this.clock.now());
  }
}
