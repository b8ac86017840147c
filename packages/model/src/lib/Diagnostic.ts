/**
 * A fault in a configuration file, with what an operator needs to correct it.
 *
 * @public
 */
export interface Diagnostic {
  /** The file name that was passed to the parser. */
  file: string;
  /** Counted from 1. */
  line: number;
  /** Counted from 1. */
  column: number;
  /** Path of the faulty value, such as `replicas[3].port`; empty for the whole file. */
  path: string;
  /** What is wrong. */
  reason: string;
  /** What a valid value looks like. */
  expected: string;
}

/** Path to a value in the parsed file: keys and indexes, from the root. */
export type ValuePath = readonly (string | number)[];

/** A fault whose line is not determined yet. */
export interface Fault {
  path: ValuePath;
  reason: string;
  expected: string;
  /** Report the position of the key instead of its value; set for unknown keys. */
  isAtKey?: boolean;
}

/** Formats a path as in code: `replicas[3].port`. */
export function formatPath(path: ValuePath): string {
  return path
    .map((step) => (typeof step === 'number' ? `[${step}]` : `.${step}`))
    .join('')
    .replace(/^\./, '');
}

/**
 * Formats a diagnostic on one line, in the form that editors and terminals turn into a link.
 *
 * @example
 * ```ts
 * formatDiagnostic(diagnostic);
 * // register.jsonc:12:7: replicas[3].port: 70000 is not valid; expected a port, 1 to 65535
 * ```
 * @public
 */
export function formatDiagnostic(diagnostic: Diagnostic): string {
  const { file, line, column, path, reason, expected } = diagnostic;
  const place = path === '' ? '' : ` ${path}:`;
  return `${file}:${line}:${column}:${place} ${reason}; expected ${expected}`;
}
