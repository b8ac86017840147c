import { EXTRA_SCENARIOS } from '../scenarios/scenarios.js';
import type { Cell } from './aggregate.js';
import { formatSpan } from './format.js';
import { groupCells } from './formatCells.js';
import { getSpread } from './getSpread.js';

/** The classes whose calls are never shed for others. */
const URGENT_TIER = 0;

const URGENT_ATTAINMENT = 0.99;

/** A class is starved when its calls wait this long and none is served. */
const STARVATION_SPAN = 30_000;

const WASTED_LIMIT = 0.02;

const PERCENT = 100;

/** One aim in one scenario. */
export interface AimResult {
  aim: string;
  deployment: string;
  scenario: string;
  met: boolean;
  /** Whether the scenario counts, or is only shown. */
  counts: boolean;
  detail: string;
}

type Verdict = Pick<AimResult, 'aim' | 'met' | 'detail'>;

function judgeUrgent({ classes }: Cell): Verdict {
  const urgent = classes.filter(({ tier }) => tier.median === URGENT_TIER);
  const detail = urgent
    .map(({ className, attainment }) => `${className} ${(attainment.median * PERCENT).toFixed(2)}`)
    .join(', ');
  const met = urgent.every(({ attainment }) => attainment.median >= URGENT_ATTAINMENT);
  return { aim: 'urgent attainment at least 99 in 100', met, detail };
}

function judgeStarvation({ classes }: Cell): Verdict {
  const worst = classes.reduce((left, right) =>
    right.longestDrought.max > left.longestDrought.max ? right : left,
  );
  return {
    aim: 'no class starved (30 s of waiting without a first token)',
    met: worst.longestDrought.max < STARVATION_SPAN,
    detail: `${worst.className} longest ${formatSpan(worst.longestDrought.max)}`,
  };
}

/** Compares seed by seed, since the calls of a seed are the same for each policy. */
function judgeGoodput(
  cell: Cell,
  baselines: Cell[],
  field: 'goodput' | 'goodputInTarget',
): Verdict {
  const name = field === 'goodput' ? 'goodput' : 'goodput in target';
  const best = baselines.reduce((left, right) =>
    right.chat[field].median > left.chat[field].median ? right : left,
  );
  const ratios = cell.chat[field].values.map(
    (value, index) => value / best.chat[field].values[index]!,
  );
  const { median, min, max } = getSpread(ratios);
  return {
    aim: `${name} not below the best baseline's`,
    met: median >= 1,
    detail: `${median.toFixed(3)} (${min.toFixed(3)}-${max.toFixed(3)}) of ${best.policy}`,
  };
}

function judgeWaste({ chat, plain }: Cell): Verdict {
  const [tokens, runs] = [chat.wasted.median, plain.wasted.median];
  return {
    aim: 'wasted work under 2 in 100',
    met: tokens < WASTED_LIMIT && runs < WASTED_LIMIT,
    detail: `tokens ${(tokens * PERCENT).toFixed(2)}, plain runs ${(runs * PERCENT).toFixed(2)}`,
  };
}

/**
 * Judges the policy under trial against the aims, scenario by scenario.
 *
 * @param cells - all cells of the experiment
 * @param policy - the name of the policy under trial
 * @internal
 */
export function getAims(cells: Cell[], policy: string): AimResult[] {
  return groupCells(cells).flatMap((group) => {
    const own = group.find((cell) => cell.policy === policy);
    const baselines = group.filter((cell) => cell !== own);
    if (own === undefined) {
      return [];
    }
    const { deployment, scenario } = own;
    const verdicts = [judgeUrgent(own), judgeStarvation(own), judgeWaste(own)];
    if (baselines.length > 0) {
      verdicts.push(judgeGoodput(own, baselines, 'goodput'));
      verdicts.push(judgeGoodput(own, baselines, 'goodputInTarget'));
    }
    const counts = !EXTRA_SCENARIOS.includes(scenario);
    return verdicts.map((verdict) => ({ ...verdict, deployment, scenario, counts }));
  });
}

/** The closing lines: each aim, and where it was missed. */
export function formatAims(results: AimResult[]): string {
  const aims = [...new Set(results.map(({ aim }) => aim))];
  return aims
    .flatMap((aim) => {
      const own = results.filter((result) => result.aim === aim);
      const counted = own.filter(({ counts }) => counts);
      const met = counted.filter((result) => result.met);
      const missed = own.filter((result) => !result.met);
      return [
        `${met.length === counted.length ? 'met   ' : 'MISSED'} ${aim}: ${met.length} of ${counted.length} scenarios`,
        ...missed.map(
          ({ deployment, scenario, counts, detail }) =>
            `         ${counts ? 'missed' : 'missed (beyond the aim: shown only)'} ${deployment}, ${scenario}: ${detail}`,
        ),
      ];
    })
    .join('\n');
}
