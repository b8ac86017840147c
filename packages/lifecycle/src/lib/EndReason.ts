/**
 * Why a process ends.
 *
 * @public
 */
export type EndReason =
  | { reason: 'stopped'; signal: string }
  | { reason: 'stop-failed'; signal: string; error: string }
  | { reason: 'start-failed'; error: string }
  | { reason: 'invalid-settings'; error: string }
  | { reason: 'fault'; error: string }
  /** Something ended the process without stating a reason. */
  | { reason: 'unexpected'; code: number };
