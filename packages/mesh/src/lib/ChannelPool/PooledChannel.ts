import type { Client } from '@grpc/grpc-js';

/**
 * An open channel to a peer and what is known of it.
 *
 * @internal
 */
export class PooledChannel {
  private answerCount = 0;

  private callCount = 0;

  constructor(
    readonly address: string,
    readonly client: Client,
  ) {}

  /** Answers of any kind that came on this channel. */
  get answers(): number {
    return this.answerCount;
  }

  get callsInFlight(): number {
    return this.callCount;
  }

  countAnswer(): void {
    this.answerCount += 1;
  }

  countCall(change: 1 | -1): void {
    this.callCount += change;
  }
}
