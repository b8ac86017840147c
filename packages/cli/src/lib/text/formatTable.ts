/** Formats a table with aligned columns; the first row holds the headings. */
export function formatTable(rows: readonly (readonly string[])[]): string[] {
  const [headings = []] = rows;
  const widths = headings.map((_, column) =>
    Math.max(...rows.map((row) => (row[column] ?? '').length)),
  );
  return rows.map((row) =>
    widths
      .map((width, column) => (row[column] ?? '').padEnd(width))
      .join('  ')
      .trimEnd(),
  );
}
