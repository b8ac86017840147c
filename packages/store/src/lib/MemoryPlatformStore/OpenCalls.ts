import type { Clock, Milliseconds } from '@apricotrill/utils';

/** Tracks the calls in flight, so that an outage can fail all of them. */
export class OpenCalls {
  private readonly rejectCallbacks = new Set<(error: Error) => void>();

  constructor(private readonly clock: Clock) {}

  /**
   * Waits for the response to a call.
   *
   * @param start - starts the call; receives the two functions that end it, and returns one that
   *   cancels it
   */
  async open<Value>(
    start: (resolve: (response: Value) => void, reject: (error: Error) => void) => () => void,
  ): Promise<Value> {
    let fail: (error: Error) => void = () => {};
    let cancel = () => {};
    const response = new Promise<Value>((resolve, reject) => {
      fail = reject;
      cancel = start(resolve, reject);
    });
    this.rejectCallbacks.add(fail);
    try {
      return await response;
    } finally {
      this.rejectCallbacks.delete(fail);
      cancel();
    }
  }

  /** Waits for the duration, unless an outage ends the wait. */
  async wait(duration: Milliseconds): Promise<void> {
    if (duration > 0) {
      await this.open<void>((resolve) => {
        const timer = this.clock.setTimer(duration, resolve);
        return () => timer.cancel();
      });
    }
  }

  failAll(error: Error): void {
    this.rejectCallbacks.forEach((fail) => fail(error));
  }
}
