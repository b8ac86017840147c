/** Why a connection could not be opened. */
export enum ConnectionFailure {
  /** Nothing answered in time. */
  Timeout = 'timeout',
  /** The address answered that no process listens. */
  Refused = 'refused',
  /** The connection was reset while it was opened. */
  Reset = 'reset',
  Other = 'other',
}

const FAILURES: Readonly<Record<string, ConnectionFailure>> = {
  ETIMEDOUT: ConnectionFailure.Timeout,
  ECONNREFUSED: ConnectionFailure.Refused,
  ECONNRESET: ConnectionFailure.Reset,
  EPIPE: ConnectionFailure.Reset,
};

/**
 * Classifies the error of a connection that could not be opened.
 *
 * @example
 * ```ts
 * getConnectionFailure(Object.assign(new Error(), { code: 'ECONNREFUSED' })); // 'refused'
 * ```
 */
export function getConnectionFailure(error: Error): ConnectionFailure {
  const { code } = error as NodeJS.ErrnoException;
  return FAILURES[code ?? ''] ?? ConnectionFailure.Other;
}
