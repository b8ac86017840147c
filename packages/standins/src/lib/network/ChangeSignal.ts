/**
 * Lets tests wait for a condition without polling: it is checked after every notified change.
 *
 * @example
 * ```ts
 * const signal = new ChangeSignal();
 * server.on('request', () => signal.notify());
 * await signal.waitUntil(() => server.count >= 3);
 * ```
 * @public
 */
export class ChangeSignal {
  private readonly waiters: (() => void)[] = [];

  /** Checks the conditions that are being waited for. */
  notify(): void {
    this.waiters.splice(0).forEach((resolve) => resolve());
  }

  /** Resolves as soon as the condition holds, possibly immediately. */
  async waitUntil(condition: () => boolean): Promise<void> {
    while (!condition()) {
      // eslint-disable-next-line no-await-in-loop -- each check follows a change
      await new Promise<void>((resolve) => {
        this.waiters.push(resolve);
      });
    }
  }
}
