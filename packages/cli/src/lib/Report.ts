import type { ExitCode } from './ExitCode.js';

/** What a command has to say, for people and for machines. */
export interface Report {
  exitCode: ExitCode;
  /** For people, one line each. */
  lines: string[];
  /** For machines: printed as one JSON value. */
  value: unknown;
}
