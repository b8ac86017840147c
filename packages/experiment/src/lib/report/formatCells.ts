import { markdownTable } from 'markdown-table';
import type { Cell } from './aggregate.js';
import { formatCount, formatPercent, formatSpan } from './format.js';

const CLASS_HEAD = [
  'class (tier)',
  'policy',
  'calls',
  'attained %',
  'lost',
  'refusals',
  'first token p50',
  'p95',
  'longest wait',
  'longest drought',
];

const WORK_HEAD = [
  'policy',
  'goodput tokens/s',
  'in target tokens/s',
  'wasted tokens %',
  'goodput plain calls/s',
  'wasted plain runs %',
  'violations',
];

function getClassRows(cells: Cell[]): string[][] {
  const names = cells[0]!.classes.map(({ className }) => className);
  return names.flatMap((name) =>
    cells.map(({ policy, classes }) => {
      const own = classes.find(({ className }) => className === name)!;
      return [
        `${name} (${own.tier.median})`,
        policy,
        own.calls.median.toFixed(0),
        formatPercent(own.attainment),
        formatCount(own.lost),
        formatCount(own.refusals),
        formatSpan(own.firstTokenMedian.median),
        formatSpan(own.firstToken95.median),
        formatSpan(own.longestWait.max),
        formatSpan(own.longestDrought.max),
      ];
    }),
  );
}

function getWorkRow({ policy, chat, plain, violations }: Cell): string[] {
  const broken = Object.entries(violations).filter(([, count]) => count > 0);
  return [
    policy,
    formatCount(chat.goodput),
    formatCount(chat.goodputInTarget),
    formatPercent(chat.wasted, 2),
    formatCount(plain.goodput),
    formatPercent(plain.wasted, 2),
    broken.map(([name, count]) => `${name}: ${count}`).join(', ') || 'none',
  ];
}

/**
 * The tables of one scenario of one deployment: by class, then work.
 *
 * @param cells - one for each policy
 * @internal
 */
export function formatCells(cells: Cell[]): string {
  const { deployment, scenario, runs } = cells[0]!;
  return [
    `## ${deployment}, ${scenario} (medians of ${runs} seeds, range in brackets; longest: worst seed)`,
    '',
    markdownTable([CLASS_HEAD, ...getClassRows(cells)]),
    '',
    markdownTable([WORK_HEAD, ...cells.map(getWorkRow)]),
    '',
  ].join('\n');
}

/** Groups cells by deployment and scenario, keeping their order. */
export function groupCells(cells: Cell[]): Cell[][] {
  const groups = new Map<string, Cell[]>();
  cells.forEach((cell) => {
    const name = `${cell.deployment}/${cell.scenario}`;
    groups.set(name, [...(groups.get(name) ?? []), cell]);
  });
  return [...groups.values()];
}
