import type { ExitCode } from './ExitCode.js';

/** The result of a command, for people and for machines. */
export interface Report {
  exitCode: ExitCode;
  /** Printed by default. */
  lines: string[];
  /** Printed as one JSON value with `--json`. */
  value: unknown;
}
