import { markdownTable } from 'markdown-table';
import type { SharedReading } from '../SharedReading.js';
import { getBudgets } from './getBudgets.js';
import type { BudgetLine } from './getBudgets.js';

const PERCENT = 100;

const MEBIBYTE = 2 ** 20;

const KILOBYTE = 1000;

function formatFigure(name: string, value: number): string {
  if (name.startsWith('core')) {
    return `${(value * PERCENT).toFixed(2)}%`;
  }
  return name.startsWith('memory')
    ? `${(value / MEBIBYTE).toFixed(1)} MB`
    : `${(value / KILOBYTE).toFixed(2)} kB/s`;
}

function getRow(daemons: number, { name, value, budget }: BudgetLine): string[] {
  return [
    `${daemons}`,
    name,
    formatFigure(name, value),
    formatFigure(name, budget),
    value <= budget ? 'kept' : 'OVER',
  ];
}

/**
 * What daemons spend against what control may cost them, 8,300 changes a day included.
 *
 * @internal
 */
export function formatBudgets({ sizes, base }: SharedReading): string {
  const rows = sizes.flatMap((size) =>
    getBudgets(size, base).map((line) => getRow(size.daemons, line)),
  );
  const head = ['daemons', 'figure', 'spent', 'budget', ''];
  return `${markdownTable([head, ...rows])}\n`;
}
