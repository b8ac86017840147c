/**
 * An error that includes the step that failed and the peer at the other end, so that a single log
 * line is enough to locate the failing connection.
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
   * @param context - the step, the peer (an address or a name) and the underlying error, if any
   */
  constructor(message: string, context: { step: string; peer: string; cause?: unknown }) {
    super(`${context.step} (${context.peer}): ${message}`, { cause: context.cause });
    this.name = new.target.name;
    this.step = context.step;
    this.peer = context.peer;
  }
}
