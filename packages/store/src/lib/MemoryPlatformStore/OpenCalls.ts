import type { Clock, Milliseconds } from '@apricotrill/utils';

/** Calls that wait for their answer, so that an outage can end all of them. */
export class OpenCalls {
  private readonly failures = new Set<(error: Error) => void>();

  constructor(private readonly clock: Clock) {}

  /**
   * Waits for an answer.
   *
   * @param begin - starts the call; gets the two ways it can end, returns what calls it off
   */
  async open<Answer>(
    begin: (resolve: (answer: Answer) => void, reject: (error: Error) => void) => () => void,
  ): Promise<Answer> {
    let fail: (error: Error) => void = () => {};
    let callOff = () => {};
    const answer = new Promise<Answer>((resolve, reject) => {
      fail = reject;
      callOff = begin(resolve, reject);
    });
    this.failures.add(fail);
    try {
      return await answer;
    } finally {
      this.failures.delete(fail);
      callOff();
    }
  }

  /** Waits for a span, unless an outage ends it. */
  async wait(span: Milliseconds): Promise<void> {
    if (span > 0) {
      await this.open<void>((resolve) => {
        const timer = this.clock.setTimer(span, resolve);
        return () => timer.cancel();
      });
    }
  }

  failAll(error: Error): void {
    this.failures.forEach((fail) => fail(error));
  }
}
