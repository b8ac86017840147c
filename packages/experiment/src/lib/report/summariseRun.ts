import { quantileSorted } from 'simple-statistics';
import type { Milliseconds } from '@apricotrill/utils';
import { CallEnd, getWait, isAttained } from '../simulation/CallRecord.js';
import type { CallRecord } from '../simulation/CallRecord.js';
import type { Violations } from '../simulation/Callers.js';
import type { SimulationResult } from '../simulation/runSimulation.js';
import { getLongestDrought } from './getLongestDrought.js';

const MILLISECONDS_PER_SECOND = 1000;

/** What one class got in one run. */
export interface ClassSummary {
  className: string;
  tier: number;
  calls: number;
  /** Part of all calls that got what the class promises. */
  attainment: number;
  completed: number;
  /** Refusals by the router; a call that retries may have several. */
  refusals: number;
  /** Calls that ended without a whole answer, by refusal or impatience. */
  lost: number;
  firstTokenMedian: Milliseconds;
  firstToken95: Milliseconds;
  longestWait: Milliseconds;
  longestDrought: Milliseconds;
}

/** What one kind of work came to: tokens of engines, or runs of plain services. */
export interface WorkSummary {
  /** Part of what was computed that reached no caller as part of a whole answer. */
  wasted: number;
  /** Units of whole answers delivered a second while callers called. */
  goodput: number;
  /** The same, counting only calls that got what their class promises. */
  goodputInTarget: number;
}

/** What one run gave. */
export interface RunSummary {
  classes: ClassSummary[];
  chat: WorkSummary;
  plain: WorkSummary;
  violations: Violations;
}

function getQuantile(values: number[], part: number): number {
  return values.length === 0 ? Number.NaN : quantileSorted(values, part);
}

function sumBy(records: CallRecord[], getValue: (record: CallRecord) => number): number {
  return records.reduce((sum, record) => sum + getValue(record), 0);
}

function summariseClass(records: CallRecord[], end: Milliseconds): ClassSummary {
  const { name, tier } = records[0]!.serviceClass;
  const started = records.filter(({ firstTokenAt }) => firstTokenAt !== undefined);
  const waits = started.map((record) => getWait(record)!).sort((left, right) => left - right);
  const lost = records.filter(
    (record) => record.end === CallEnd.GivenUp || record.end === CallEnd.TimedOut,
  );
  // A caller that hangs up in the middle by its own wish is neither attained nor missed.
  const judged = records.filter((record) => record.end !== CallEnd.Left);
  return {
    className: name,
    tier,
    calls: records.length,
    attainment: judged.filter(isAttained).length / judged.length,
    completed: records.filter((record) => record.end === CallEnd.Completed).length,
    refusals: sumBy(records, ({ refusals }) => refusals),
    lost: lost.length,
    firstTokenMedian: getQuantile(waits, 0.5),
    firstToken95: getQuantile(waits, 0.95),
    longestWait: records.reduce(
      (longest, record) => Math.max(longest, getWait(record) ?? end - record.call.arrived),
      0,
    ),
    longestDrought: getLongestDrought(records, end),
  };
}

function summariseWork(records: CallRecord[], span: Milliseconds): WorkSummary {
  const completed = records.filter(({ end }) => end === CallEnd.Completed);
  const seconds = span / MILLISECONDS_PER_SECOND;
  const useful = sumBy(completed, ({ delivered }) => delivered);
  const computed = sumBy(records, (record) => record.computed);
  const getInSpan = ({ deliveredInSpan }: CallRecord) => deliveredInSpan;
  return {
    wasted: computed === 0 ? 0 : 1 - useful / computed,
    goodput: sumBy(completed, getInSpan) / seconds,
    goodputInTarget: sumBy(completed.filter(isAttained), getInSpan) / seconds,
  };
}

/**
 * Reduces a run to its figures.
 *
 * @example
 * ```ts
 * const { classes, chat } = summariseRun(await runSimulation(run));
 * ```
 * @public
 */
export function summariseRun({ records, violations, span }: SimulationResult): RunSummary {
  const end = records.reduce((latest, { settledAt }) => Math.max(latest, settledAt ?? 0), span);
  const byClass = new Map<string, CallRecord[]>();
  records.forEach((record) => {
    const { className } = record.call;
    const group = byClass.get(className);
    if (group === undefined) {
      byClass.set(className, [record]);
    } else {
      group.push(record);
    }
  });
  return {
    classes: [...byClass.values()]
      .map((group) => summariseClass(group, end))
      .sort((left, right) => left.tier - right.tier || (left.className < right.className ? -1 : 1)),
    chat: summariseWork(
      records.filter(({ call }) => call.work.kind === 'chat'),
      span,
    ),
    plain: summariseWork(
      records.filter(({ call }) => call.work.kind === 'plain'),
      span,
    ),
    violations,
  };
}
