import { StepError } from '@apricotrill/utils';

/** Why a call to a peer failed. */
export enum MeshFailure {
  /** No response in time: the peer may or may not have handled the message. */
  Timeout = 'timeout',
  /** No connection, or the connection broke: the peer may or may not have handled the message. */
  Unreachable = 'unreachable',
  /** The message was rejected before it reached a handler: unknown topic, too large or malformed. */
  Refused = 'refused',
  /** The peer's handler threw. */
  HandlerFailed = 'handler-failed',
  /** The caller's mesh was disposed before the call or while it was in flight. */
  Disposed = 'disposed',
}

/**
 * A call between daemons failed.
 *
 * @public
 */
export class MeshError extends StepError {
  readonly failure: MeshFailure;

  /**
   * @param failure - the kind of failure, on which callers base their reaction
   * @param message - the reason in words
   * @param context - the step, the peer's address and the underlying error
   */
  constructor(
    failure: MeshFailure,
    message: string,
    context: { step: string; peer: string; cause?: unknown },
  ) {
    super(message, context);
    this.failure = failure;
  }
}
