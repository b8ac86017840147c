import { exhaustiveSwitchError } from '@apricotrill/utils';
import type { EndReason } from './EndReason.js';
import { ExitCode } from './ExitCode.js';

/**
 * Returns the exit code that belongs to a reason.
 *
 * @example
 * ```ts
 * getExitCode({ reason: 'stopped', signal: 'SIGTERM' }); // 0
 * ```
 * @public
 */
export function getExitCode(end: EndReason): number {
  switch (end.reason) {
    case 'stopped':
      return ExitCode.Stopped;
    case 'stop-failed':
    case 'start-failed':
      return ExitCode.Failed;
    case 'invalid-settings':
      return ExitCode.InvalidSettings;
    case 'fault':
      return ExitCode.Fault;
    case 'unexpected':
      return end.code;
    default:
      throw exhaustiveSwitchError(end);
  }
}
