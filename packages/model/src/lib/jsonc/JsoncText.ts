import { findNodeAtLocation, getNodeValue, parseTree, printParseErrorCode } from 'jsonc-parser';
import type { Node, ParseError } from 'jsonc-parser';
import { formatPath } from '../Diagnostic.js';
import type { Diagnostic, Fault, ValuePath } from '../Diagnostic.js';

/** Offsets at which the lines of a text start. */
function getLineStarts(text: string): number[] {
  const starts = [0];
  for (let end = text.indexOf('\n'); end !== -1; end = text.indexOf('\n', end + 1)) {
    starts.push(end + 1);
  }
  return starts;
}

/** Converts a parser error code to words: `PropertyNameExpected` → `property name expected`. */
function getErrorMessage(error: ParseError): string {
  return printParseErrorCode(error.error)
    .replace(/([A-Z])/g, ' $1')
    .trim()
    .toLowerCase();
}

/** Returns the nodes of keys that repeat an earlier key of the same object. */
function getDuplicateKeys(root: Node | undefined): Node[] {
  const duplicates: Node[] = [];
  const pending = root === undefined ? [] : [root];
  for (let node = pending.pop(); node !== undefined; node = pending.pop()) {
    const seen = new Set<string>();
    (node.type === 'object' ? (node.children ?? []) : []).forEach((property) => {
      const key = property.children![0]!;
      if (seen.has(key.value as string)) {
        duplicates.push(key);
      }
      seen.add(key.value as string);
    });
    pending.push(...(node.children ?? []));
  }
  return duplicates;
}

/**
 * A parsed text of JSON with comments (trailing commas allowed) that knows the position of each value.
 */
export class JsoncText {
  private readonly root: Node | undefined;

  private readonly lineStarts: number[];

  private readonly errors: ParseError[] = [];

  /**
   * @param text - the file's content; a byte order mark at its start is ignored
   * @param file - its name, for diagnostics
   */
  constructor(
    text: string,
    readonly file: string,
  ) {
    const source = text.startsWith('\uFEFF') ? text.slice(1) : text;
    this.lineStarts = getLineStarts(source);
    this.root = parseTree(source, this.errors, { allowTrailingComma: true });
  }

  /** Returns the parsed value; only meaningful when there are no syntax diagnostics. */
  getValue(): unknown {
    return this.root === undefined ? undefined : getNodeValue(this.root);
  }

  /** Returns the syntax errors and the keys that occur twice in one object. */
  getSyntaxDiagnostics(): Diagnostic[] {
    const syntax = this.errors.map((error) =>
      this.getDiagnosticAt(error.offset, '', getErrorMessage(error), 'JSON with comments'),
    );
    const duplicates = getDuplicateKeys(this.root).map((key) =>
      this.getDiagnosticAt(
        key.offset,
        key.value as string,
        `key "${key.value}" is written twice in one object`,
        'each key once',
      ),
    );
    return [...syntax, ...duplicates];
  }

  /**
   * Converts a fault to a diagnostic with its position. For a missing value, this is the position of
   * the closest enclosing value that exists.
   */
  locate(fault: Fault): Diagnostic {
    const offset = this.getOffset(fault.path, fault.isAtKey ?? false);
    return this.getDiagnosticAt(offset, formatPath(fault.path), fault.reason, fault.expected);
  }

  private getOffset(path: ValuePath, isAtKey: boolean): number {
    for (let { length } = path; length > 0 && this.root !== undefined; length -= 1) {
      const node = findNodeAtLocation(this.root, path.slice(0, length));
      if (node !== undefined) {
        return isAtKey && node.parent?.type === 'property' ? node.parent.offset : node.offset;
      }
    }
    return this.root?.offset ?? 0;
  }

  private getDiagnosticAt(
    offset: number,
    path: string,
    reason: string,
    expected: string,
  ): Diagnostic {
    const after = this.lineStarts.findIndex((start) => start > offset);
    const line = after === -1 ? this.lineStarts.length : after;
    const column = offset - this.lineStarts[line - 1]! + 1;
    return { file: this.file, line, column, path, reason, expected };
  }
}
