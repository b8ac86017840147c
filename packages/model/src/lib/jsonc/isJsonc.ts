import { parseTree } from 'jsonc-parser';
import type { ParseError } from 'jsonc-parser';

/**
 * Whether a text is whole: JSON with comments, whatever it contains. A file that is being written is not.
 *
 * @example
 * ```ts
 * isJsonc('{ "id": "daemon-1", "po'); // false
 * ```
 * @public
 */
export function isJsonc(text: string): boolean {
  const errors: ParseError[] = [];
  parseTree(text, errors, { allowTrailingComma: true });
  return errors.length === 0;
}
