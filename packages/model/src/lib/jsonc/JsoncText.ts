import { findNodeAtLocation, getNodeValue, parseTree, printParseErrorCode } from 'jsonc-parser';
import type { Node, ParseError } from 'jsonc-parser';
import { getPathText } from '../Diagnostic.js';
import type { Diagnostic, Fault, ValuePath } from '../Diagnostic.js';

/** Offsets at which the lines of a text start. */
function getLineStarts(text: string): number[] {
  const starts = [0];
  for (let end = text.indexOf('\n'); end !== -1; end = text.indexOf('\n', end + 1)) {
    starts.push(end + 1);
  }
  return starts;
}

/** The words of an error code of the parser: `PropertyNameExpected` → `property name expected`. */
function getErrorWords(error: ParseError): string {
  return printParseErrorCode(error.error)
    .replace(/([A-Z])/g, ' $1')
    .trim()
    .toLowerCase();
}

/** Object nodes in which a key is written twice, with the second key. */
function getRepeatedKeys(root: Node | undefined): Node[] {
  const repeated: Node[] = [];
  const pending = root === undefined ? [] : [root];
  for (let node = pending.pop(); node !== undefined; node = pending.pop()) {
    const seen = new Set<string>();
    (node.type === 'object' ? (node.children ?? []) : []).forEach((property) => {
      const key = property.children![0]!;
      if (seen.has(key.value as string)) {
        repeated.push(key);
      }
      seen.add(key.value as string);
    });
    pending.push(...(node.children ?? []));
  }
  return repeated;
}

/**
 * A text of JSON with comments (trailing commas allowed) that remembers where each value stands.
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

  /** The value; only meaningful when there are no syntax diagnostics. */
  getValue(): unknown {
    return this.root === undefined ? undefined : getNodeValue(this.root);
  }

  /** Faults that keep the text from being read as JSON with comments. */
  getSyntaxDiagnostics(): Diagnostic[] {
    const syntax = this.errors.map((error) =>
      this.getDiagnosticAt(error.offset, '', getErrorWords(error), 'JSON with comments'),
    );
    const repeated = getRepeatedKeys(this.root).map((key) =>
      this.getDiagnosticAt(
        key.offset,
        key.value as string,
        `key "${key.value}" is written twice in one object`,
        'each key once',
      ),
    );
    return [...syntax, ...repeated];
  }

  /** Ties a fault to its line. A value that is missing is shown at what should hold it. */
  locate(fault: Fault): Diagnostic {
    const offset = this.getOffset(fault.path, fault.atKey ?? false);
    return this.getDiagnosticAt(offset, getPathText(fault.path), fault.reason, fault.expected);
  }

  private getOffset(path: ValuePath, atKey: boolean): number {
    for (let { length } = path; length > 0 && this.root !== undefined; length -= 1) {
      const node = findNodeAtLocation(this.root, path.slice(0, length));
      if (node !== undefined) {
        return atKey && node.parent?.type === 'property' ? node.parent.offset : node.offset;
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
