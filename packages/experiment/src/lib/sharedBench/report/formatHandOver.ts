import { markdownTable } from 'markdown-table';
import { max, median } from 'simple-statistics';
import { formatCount } from '../../report/format.js';
import { getSpread } from '../../report/getSpread.js';
import type { Spread } from '../../report/getSpread.js';
import { CallKind } from '../handOver/CallRecord.js';
import type { KindVerdict } from '../handOver/judgeHandOver.js';
import type { HandOverReading } from '../handOver/measureHandOver.js';
import type { HandOverRounds } from '../SharedReading.js';

const HEAD = [
  'calls',
  'asked',
  'answered',
  'refused',
  'cut',
  'lost',
  'wrong',
  'median ms',
  'p99 ms',
  'longest ms',
];

const COUNTS = ['asked', 'answered', 'refused', 'cut', 'lost', 'wrong'] as const;

type Phase = 'calm' | 'restarts';

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function getRow(name: string, verdicts: KindVerdict[]): string[] {
  return [
    name,
    ...COUNTS.map((count) => `${sum(verdicts.map((verdict) => verdict[count]))}`),
    median(verdicts.map((verdict) => verdict.median)).toFixed(0),
    median(verdicts.map(({ p99 }) => p99)).toFixed(0),
    max(verdicts.map(({ longest }) => longest)).toFixed(0),
  ];
}

function getRows(rounds: HandOverReading[], phase: Phase): string[][] {
  return Object.values(CallKind).flatMap((kind) => {
    const verdicts = rounds.flatMap((round) => round[phase].kinds[kind] ?? []);
    return verdicts.length === 0 ? [] : [getRow(`${phase}: ${kind}`, verdicts)];
  });
}

function addFailures(rounds: HandOverReading[]): string[] {
  const failures = rounds.flatMap(({ calm, restarts }) => [
    ...Object.entries(calm.failures).map(([name, count]) => [`calm: ${name}`, count] as const),
    ...Object.entries(restarts.failures).map(
      ([name, count]) => [`restarts: ${name}`, count] as const,
    ),
  ]);
  const names = [...new Set(failures.map(([name]) => name))];
  return names.map((name) => {
    const counts = failures.filter(([other]) => other === name).map(([, count]) => count);
    return `- ${sum(counts)} x ${name}`;
  });
}

function joinSpreads(spreads: Spread[]): string {
  return formatCount(getSpread(spreads.flatMap(({ values }) => values)));
}

/**
 * The tables of the rolling restarts: counts are sums over rounds, quantiles are medians of the
 * rounds' own.
 *
 * @internal
 */
export function formatHandOver({ rounds, load }: HandOverRounds): string {
  const getTotal = (get: (round: HandOverReading) => number) => sum(rounds.map(get));
  const computed = getTotal(({ runs }) => runs.computedTokens);
  const useful = getTotal(({ runs }) => runs.usefulTokens);
  const wrongExits = rounds.flatMap((round) => round.wrongExits);
  return [
    markdownTable([HEAD, ...getRows(rounds, 'calm'), ...getRows(rounds, 'restarts')]),
    '',
    `- rounds of ${rounds[0]!.daemons} restarts: ${rounds.length}; machine load before, after: ` +
      `${load.before.toFixed(1)}, ${load.after.toFixed(1)}`,
    `- keys that ran more than once: ${getTotal(({ runs }) => runs.doubled)}`,
    `- ran though "not run" was said: ${getTotal(({ runs }) => runs.ranThoughRefused)}`,
    `- keys answered from another run: ${getTotal(({ runs }) => runs.strangeAnswers)}`,
    `- tokens computed ${computed}, in whole answers ${useful}`,
    `- signal to end of process, ms: ${joinSpreads(rounds.map(({ stopping }) => stopping))}`,
    `- start of process to ready, ms: ${joinSpreads(rounds.map(({ starting }) => starting))}`,
    `- exits with another code than 0: ${wrongExits.length === 0 ? 'none' : wrongExits.join(', ')}`,
    ...addFailures(rounds),
    '',
  ].join('\n');
}
