/**
 * Lets tests wait for something that changes now and then, without asking for it by the clock.
 *
 * @example
 * ```ts
 * const signal = new ChangeSignal();
 * server.on('request', () => signal.notify());
 * await signal.until(() => server.count >= 3);
 * ```
 * @public
 */
export class ChangeSignal {
  private readonly waiting: (() => void)[] = [];

  /** Something has changed. */
  notify(): void {
    this.waiting.splice(0).forEach((resolve) => resolve());
  }

  /** Resolves as soon as the condition holds, which may be now. */
  async waitUntil(holds: () => boolean): Promise<void> {
    while (!holds()) {
      // Each look follows a change.
      // eslint-disable-next-line no-await-in-loop
      await new Promise<void>((resolve) => {
        this.waiting.push(resolve);
      });
    }
  }
}
