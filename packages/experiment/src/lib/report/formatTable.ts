import { markdownTable } from 'markdown-table';

/** Wider tables are not aligned: the formatter of the pages leaves them narrow. */
const PAGE_WIDTH = 100;

/**
 * A Markdown table in the very form that the formatter gives it, so that a page written by a
 * command passes the check.
 *
 * @param rows - the first is the head
 * @internal
 */
export function formatTable(rows: string[][]): string {
  const aligned = markdownTable(rows);
  const [head] = aligned.split('\n', 1);
  if (head!.length <= PAGE_WIDTH) {
    return aligned;
  }
  const [first, ...others] = rows.map((cells) => `| ${cells.join(' | ')} |`);
  const rule = `| ${rows[0]!.map(() => '---').join(' | ')} |`;
  return [first, rule, ...others].map((line) => line!.replace(/\|\s+\|/g, '|  |')).join('\n');
}
