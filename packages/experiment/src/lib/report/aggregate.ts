import type { ClassSummary, RunSummary, WorkSummary } from './summariseRun.js';
import { getSpread } from './getSpread.js';
import type { Spread } from './getSpread.js';
import type { RunResult } from './RunKey.js';

/** A summary in which each figure is a median with its range. */
export type SpreadOf<Summary> = {
  [Field in keyof Summary]: Summary[Field] extends number ? Spread : Summary[Field];
};

/** One policy in one scenario of one deployment, over all seeds. */
export interface Cell {
  deployment: string;
  scenario: string;
  policy: string;
  runs: number;
  classes: SpreadOf<ClassSummary>[];
  chat: SpreadOf<WorkSummary>;
  plain: SpreadOf<WorkSummary>;
  /** Violations of all runs together. */
  violations: RunSummary['violations'];
}

function spreadFields<Summary extends object>(summaries: Summary[]): SpreadOf<Summary> {
  const entries = Object.entries(summaries[0]!).map(([field, value]) => {
    const values = summaries.map((summary) => summary[field as keyof Summary]);
    return [field, typeof value === 'number' ? getSpread(values as number[]) : value];
  });
  return Object.fromEntries(entries) as SpreadOf<Summary>;
}

function aggregateClasses(summaries: RunSummary[]): SpreadOf<ClassSummary>[] {
  return summaries[0]!.classes.map(({ className }) =>
    spreadFields(
      summaries.flatMap(({ classes }) => classes.filter((other) => other.className === className)),
    ),
  );
}

function addViolations(summaries: RunSummary[]): RunSummary['violations'] {
  return summaries.reduce(
    (sum, { violations }) => ({
      wrongResume: sum.wrongResume + violations.wrongResume,
      cutAnswers: sum.cutAnswers + violations.cutAnswers,
      doubledRuns: sum.doubledRuns + violations.doubledRuns,
      falseNotRun: sum.falseNotRun + violations.falseNotRun,
    }),
    { wrongResume: 0, cutAnswers: 0, doubledRuns: 0, falseNotRun: 0 },
  );
}

/**
 * Puts the runs that differ only in their seed together.
 *
 * @returns one cell for each deployment, scenario and policy, in the order they first appear
 * @example
 * ```ts
 * const cells = aggregate(await runAll(keys, 2, report));
 * ```
 * @public
 */
export function aggregate(results: RunResult[]): Cell[] {
  const groups = new Map<string, RunResult[]>();
  results.forEach((result) => {
    const { deployment, scenario, policy } = result.key;
    const name = `${deployment}/${scenario}/${policy}`;
    groups.set(name, [...(groups.get(name) ?? []), result]);
  });
  return [...groups.values()].map((group) => {
    const { deployment, scenario, policy } = group[0]!.key;
    const summaries = group.map(({ summary }) => summary);
    return {
      deployment,
      scenario,
      policy,
      runs: group.length,
      classes: aggregateClasses(summaries),
      chat: spreadFields(summaries.map(({ chat }) => chat)),
      plain: spreadFields(summaries.map(({ plain }) => plain)),
      violations: addViolations(summaries),
    };
  });
}
