import type { Clock, Milliseconds } from '@apricotrill/utils';
import type { ClaimOptions } from '../ClaimOptions.js';
import type { ClaimHandle, ClaimOutcome } from '../claimTypes.js';
import type { OwnerRouter } from './OwnerRouter.js';
import { delay } from './timing.js';

/** An entry outlives its request by at most this many retention periods. */
const REPORT_RETENTIONS = 2;

/**
 * Maximum delay in milliseconds between reports of an outcome that the owner has but the store does
 * not.
 */
const MAX_HELD_RETRY_DELAY = 60_000;

/**
 * Reports outcomes to owners until the store has them. An owner that crashes before its commit
 * loses the outcome, and repeats would be told `in-progress` or `unknown` for a request whose
 * response is known.
 */
export class OutcomeReporter {
  private readonly pendingReports = new Map<string, Promise<void>>();

  private isDisposed = false;

  constructor(
    private readonly clock: Clock,
    private readonly options: ClaimOptions,
    private readonly router: OwnerRouter,
  ) {}

  /** Number of outcomes that the store does not have yet. */
  get size(): number {
    return this.pendingReports.size;
  }

  /**
   * Reports an outcome.
   *
   * @returns a promise that resolves once the store has the outcome or the claim has expired
   */
  report(handle: ClaimHandle, outcome: ClaimOutcome): Promise<void> {
    const { claim } = handle.request;
    const report = this.run(handle, outcome).finally(() => this.pendingReports.delete(claim));
    this.pendingReports.set(claim, report);
    return report;
  }

  /** Resolves once the store has the outcomes reported so far, or their claims have expired. */
  async flush(): Promise<void> {
    await Promise.all(this.pendingReports.values());
  }

  dispose(): void {
    this.isDisposed = true;
  }

  private async run(handle: ClaimHandle, outcome: ClaimOutcome): Promise<void> {
    const deadline = this.clock.now() + REPORT_RETENTIONS * this.options.retention;
    let nextDelay = this.options.retryDelay;
    while (!this.isDisposed && this.clock.now() < deadline) {
      // One report at a time, until one is confirmed.
      // eslint-disable-next-line no-await-in-loop
      const state = await this.sendOnce(handle, outcome);
      if (state === 'durable') {
        return;
      }
      const limit = state === 'held' ? MAX_HELD_RETRY_DELAY : this.options.maxRetryDelay;
      nextDelay = Math.min(nextDelay * 2, limit);
      // eslint-disable-next-line no-await-in-loop
      await delay(this.clock, nextDelay);
    }
  }

  private async sendOnce(
    handle: ClaimHandle,
    outcome: ClaimOutcome,
  ): Promise<'durable' | 'held' | 'failed'> {
    const { shard, request } = handle;
    const { claimTimeout, callTimeout } = this.options;
    // The owner responds once its commit is confirmed, within the claim timeout.
    const timeout: Milliseconds = claimTimeout + callTimeout;
    const message = { kind: 'settle' as const, shard, request, outcome };
    const { response } = await this.router.send(
      shard,
      message,
      this.clock.now() + timeout,
      timeout,
    );
    if (response?.kind !== 'settled') {
      return 'failed';
    }
    return response.durable ? 'durable' : 'held';
  }
}
