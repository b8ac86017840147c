import type { Cell } from './aggregate.js';
import { groupCells } from './formatCells.js';

const PANEL = { width: 600, height: 150, left: 44, top: 26, bottom: 34 };

const COLUMNS = 2;

const GAP = 20;

const HEAD = 50;

const COLOURS = ['#1b6ca8', '#d1495b', '#edae49', '#66a182', '#7b5ea7'];

const PERCENT = 100;

/** The waste panel ends at the aim. */
const WASTE_TOP = 2;

/** One panel: a figure for each scenario and policy, between 0 and `top`. */
interface Panel {
  title: string;
  groups: string[];
  series: { name: string; values: number[] }[];
  top: number;
}

function escapeXml(text: string): string {
  return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;');
}

function drawText(x: number, y: number, text: string, attributes = ''): string {
  return `<text x="${x.toFixed(1)}" y="${y.toFixed(1)}" ${attributes}>${escapeXml(text)}</text>`;
}

function drawAxis({ top }: Panel, plotHeight: number): string {
  return [0, 0.5, 1]
    .map((part) => {
      const y = PANEL.top + plotHeight * (1 - part);
      const line = `<line x1="${PANEL.left}" x2="${PANEL.width}" y1="${y}" y2="${y}" stroke="#ddd"/>`;
      const label = `${Number((top * part).toPrecision(3))}`;
      return line + drawText(PANEL.left - 4, y + 4, label, 'text-anchor="end"');
    })
    .join('');
}

function drawBars(panel: Panel, plotHeight: number): string {
  const groupWidth = (PANEL.width - PANEL.left) / panel.groups.length;
  const barWidth = (groupWidth * 0.8) / panel.series.length;
  return panel.groups
    .flatMap((group, groupIndex) => {
      const start = PANEL.left + groupIndex * groupWidth;
      const bars = panel.series.map(({ name, values }, index) => {
        const value = values[groupIndex]!;
        const height = Math.max(0.5, (Math.min(value, panel.top) / panel.top) * plotHeight);
        const x = start + groupWidth * 0.1 + index * barWidth;
        const y = PANEL.top + plotHeight - height;
        const shape = `x="${x.toFixed(1)}" y="${y.toFixed(1)}" width="${barWidth.toFixed(1)}" height="${height.toFixed(1)}"`;
        return `<rect ${shape} fill="${COLOURS[index]}"><title>${escapeXml(`${name}, ${group}: ${value.toPrecision(4)}`)}</title></rect>`;
      });
      const label = drawText(
        start + groupWidth / 2,
        PANEL.height - PANEL.bottom + 14,
        group,
        'text-anchor="middle"',
      );
      return [...bars, label];
    })
    .join('');
}

function drawPanel(panel: Panel, index: number): string {
  const x = (index % COLUMNS) * (PANEL.width + GAP) + GAP;
  const y = HEAD + Math.floor(index / COLUMNS) * (PANEL.height + GAP);
  const plotHeight = PANEL.height - PANEL.top - PANEL.bottom;
  const title = drawText(PANEL.left, 16, panel.title, 'font-size="12" font-weight="bold"');
  const content = title + drawAxis(panel, plotHeight) + drawBars(panel, plotHeight);
  return `<g transform="translate(${x} ${y})">${content}</g>`;
}

function createPanel(
  groups: Cell[][],
  title: string,
  getValue: (cell: Cell) => number,
  top?: number,
): Panel {
  const policies = groups[0]!.map(({ policy }) => policy);
  const series = policies.map((name, index) => ({
    name,
    values: groups.map((cells) => getValue(cells[index]!)),
  }));
  const largest = Math.max(...series.flatMap(({ values }) => values));
  return {
    title,
    groups: groups.map((cells) => cells[0]!.scenario),
    series,
    top: top ?? (largest || 1),
  };
}

function createPanels(groups: Cell[][]): Panel[] {
  const { deployment, classes } = groups[0]![0]!;
  return [
    ...classes.map(({ className }, index) =>
      createPanel(
        groups,
        `${deployment}: ${className}, attained %`,
        (cell) => cell.classes[index]!.attainment.median * PERCENT,
        PERCENT,
      ),
    ),
    createPanel(groups, `${deployment}: goodput, tokens/s`, ({ chat }) => chat.goodput.median),
    createPanel(
      groups,
      `${deployment}: wasted tokens, %`,
      ({ chat }) => chat.wasted.median * PERCENT,
      WASTE_TOP,
    ),
  ];
}

function drawLegend(names: string[]): string {
  return names
    .map((name, index) => {
      const x = GAP + PANEL.left + index * 170;
      const box = `<rect x="${x}" y="18" width="12" height="12" fill="${COLOURS[index]}"/>`;
      return box + drawText(x + 18, 28, name, 'font-size="12"');
    })
    .join('');
}

/**
 * Draws the experiment as one SVG picture: a panel for each class, for goodput and for waste, with
 * the scenarios side by side and a bar for each policy.
 *
 * @param cells - all cells of the experiment
 * @returns the text of an SVG file
 * @internal
 */
export function createPlot(cells: Cell[]): string {
  const deployments = [...new Set(cells.map(({ deployment }) => deployment))];
  const panels = deployments.flatMap((name) =>
    createPanels(groupCells(cells.filter(({ deployment }) => deployment === name))),
  );
  const rows = Math.ceil(panels.length / COLUMNS);
  const width = COLUMNS * (PANEL.width + GAP) + GAP;
  const height = HEAD + rows * (PANEL.height + GAP);
  const policies = [...new Set(cells.map(({ policy }) => policy))];
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${width}" height="${height}" viewBox="0 0 ${width} ${height}" font-family="sans-serif" font-size="9">`,
    `<rect width="${width}" height="${height}" fill="white"/>`,
    drawLegend(policies),
    ...panels.map(drawPanel),
    '</svg>',
    '',
  ].join('\n');
}
