import { build } from 'hdr-histogram-js';
import type { CallResult } from './makeCall.js';

/**
 * Aggregates the results of the calls of one class.
 *
 * @internal
 */
export class ClassSummary {
  private readonly histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: 600_000 });

  private calls = 0;

  private completeCalls = 0;

  private callsOnTarget = 0;

  private tokens = 0;

  private readonly className: string;

  private readonly target: number;

  constructor(className: string, target: number) {
    this.className = className;
    this.target = target;
  }

  add(result: CallResult): void {
    this.calls += 1;
    if (!result.isComplete) {
      return;
    }
    this.completeCalls += 1;
    this.tokens += result.tokens;
    this.callsOnTarget += result.firstToken <= this.target ? 1 : 0;
    this.histogram.recordValue(Math.max(1, Math.round(result.firstToken)));
  }

  /** Returns the table row of this class. */
  getRow(): string[] {
    const share =
      this.calls === 0 ? '-' : `${((100 * this.callsOnTarget) / this.calls).toFixed(1)} %`;
    return [
      this.className,
      String(this.calls),
      String(this.completeCalls),
      share,
      `${this.target} ms`,
      `${this.histogram.getValueAtPercentile(50)} ms`,
      `${this.histogram.getValueAtPercentile(95)} ms`,
      String(this.tokens),
    ];
  }
}

const HEADINGS = ['class', 'calls', 'complete', 'on target', 'target', 'p50', 'p95', 'tokens'];

/**
 * Formats rows as a table with headings.
 *
 * @example
 * ```ts
 * output.write(getTable(summaries.map((summary) => summary.getRow())));
 * ```
 * @internal
 */
export function formatTable(rows: string[][]): string {
  const all = [HEADINGS, ...rows];
  const widths = HEADINGS.map((_, column) => Math.max(...all.map((row) => row[column]!.length)));
  const lines = all.map((row) =>
    row.map((cell, column) => cell.padEnd(widths[column]!)).join('  '),
  );
  return `${lines.join('\n')}\n`;
}
