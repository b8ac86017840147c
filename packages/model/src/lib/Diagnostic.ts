/**
 * One fault in a text that operators wrote, with all they need to mend it.
 *
 * @public
 */
export interface Diagnostic {
  /** The file's name, as the caller gave it. */
  file: string;
  /** Counted from 1. */
  line: number;
  /** Counted from 1. */
  column: number;
  /** Where in the value, such as `replicas[3].port`; empty for the whole text. */
  path: string;
  /** What is wrong. */
  reason: string;
  /** What would be right. */
  expected: string;
}

/** A place in a parsed value: keys and indexes from the root. */
export type ValuePath = readonly (string | number)[];

/** A fault that is not tied to a line yet. */
export interface Fault {
  path: ValuePath;
  reason: string;
  expected: string;
  /** Points at the key in place of its value, for a key that should not be there. */
  atKey?: boolean;
}

/** Writes a path the way people write it in code: `replicas[3].port`. */
export function getPathText(path: ValuePath): string {
  return path
    .map((step) => (typeof step === 'number' ? `[${step}]` : `.${step}`))
    .join('')
    .replace(/^\./, '');
}

/**
 * Writes a diagnostic on one line, in the form editors and terminals turn into a link.
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
