import type { Client } from '@grpc/grpc-js';

/**
 * An open channel to a peer, with the number of its responses and of its calls in flight.
 *
 * @internal
 */
export class PooledChannel {
  private responseCount = 0;

  private callCount = 0;

  constructor(
    readonly address: string,
    readonly client: Client,
  ) {}

  /** Number of responses of any kind received on this channel. */
  get responses(): number {
    return this.responseCount;
  }

  get callsInFlight(): number {
    return this.callCount;
  }

  recordResponse(): void {
    this.responseCount += 1;
  }

  adjustCallCount(change: 1 | -1): void {
    this.callCount += change;
  }
}
