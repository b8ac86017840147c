import type { Cell } from './aggregate.js';
import { formatAims, getAims } from './getAims.js';
import { getSpread } from './getSpread.js';

interface Figures {
  attainment: number;
  drought: number;
  wasted: number;
  goodput: number[];
}

const GOOD: Figures = { attainment: 0.995, drought: 500, wasted: 0.001, goodput: [100, 200, 300] };

function createCell(policy: string, changes: Partial<Figures> = {}, scenario = 'burst'): Cell {
  const { attainment, drought, wasted, goodput } = { ...GOOD, ...changes };
  const one = getSpread([1]);
  const work = { wasted: getSpread([wasted]), goodput: getSpread(goodput) };
  const chat = { ...work, goodputInTarget: getSpread(goodput) };
  return {
    deployment: 'liitto',
    scenario,
    policy,
    runs: goodput.length,
    classes: [
      {
        className: 'order-hold',
        tier: getSpread([0]),
        calls: one,
        attainment: getSpread([attainment]),
        completed: one,
        refusals: one,
        lost: one,
        firstTokenMedian: one,
        firstToken95: one,
        longestWait: one,
        longestDrought: getSpread([drought]),
      },
    ],
    chat,
    plain: chat,
    violations: { wrongResume: 0, cutAnswers: 0, doubledRuns: 0, falseNotRun: 0 },
  };
}

function getMissed(own: Cell, baseline = createCell('fifo')): string[] {
  return getAims([own, baseline], 'ours')
    .filter(({ met }) => !met)
    .map(({ aim }) => aim);
}

describe('getAims', () => {
  it('meets every aim at or above it', () => {
    expect(getMissed(createCell('ours'))).toEqual([]);
  });

  it.each([
    [{ attainment: 0.989 }, 'urgent attainment'],
    [{ drought: 30_000 }, 'no class starved'],
    [{ wasted: 0.02 }, 'wasted work'],
  ])('misses one aim for %j', (changes, aim) => {
    expect(getMissed(createCell('ours', changes))).toEqual([expect.stringContaining(aim)]);
  });

  it('compares goodput seed by seed, not median with median', () => {
    // Medians are equal, but two of three seeds are below the baseline's.
    const own = createCell('ours', { goodput: [99, 200, 299] });
    expect(getMissed(own)).toEqual([
      expect.stringContaining('goodput not below'),
      expect.stringContaining('goodput in target not below'),
    ]);
  });

  it('shows what is beyond the aims and does not count it', () => {
    const cells = [createCell('ours', { attainment: 0.5 }, 'urgent-burst'), createCell('ours')];
    const text = formatAims(getAims(cells, 'ours'));
    expect(text).toContain('met    urgent attainment at least 99 in 100: 1 of 1');
    expect(text).toContain('shown only) liitto, urgent-burst: order-hold 50.00');
  });
});
