/**
 * An error that says at which step it arose and which peer was on the other end, so that a log
 * line alone is enough to find the broken path.
 *
 * @example
 * ```ts
 * throw new StepError('connect failed', { step: 'dispatch', peer: '127.0.0.1:9001', cause });
 * ```
 * @public
 */
export class StepError extends Error {
  readonly step: string;

  readonly peer: string;

  /**
   * @param message - what went wrong
   * @param context - the step, the peer (an address or a name) and the error underneath, if any
   */
  constructor(message: string, context: { step: string; peer: string; cause?: unknown }) {
    super(`${context.step} (${context.peer}): ${message}`, { cause: context.cause });
    this.name = new.target.name;
    this.step = context.step;
    this.peer = context.peer;
  }
}
