import { StepError } from '@apricotrill/utils';

/** Why a call to a peer gave no answer. */
export enum MeshFailure {
  /** No answer in time: the peer may or may not have handled the message. */
  Timeout = 'timeout',
  /** No connection, or the connection broke: the peer may or may not have handled the message. */
  Unreachable = 'unreachable',
  /** The message was refused before any handler saw it: unknown topic, too large, malformed. */
  Refused = 'refused',
  /** The peer's handler threw. */
  HandlerFailed = 'handler-failed',
  /** This end was disposed while the call was in flight or before it began. */
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
   * @param failure - what kind of failure, for the caller to act on
   * @param message - what went wrong
   * @param context - the step, the peer's address and the error underneath
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
