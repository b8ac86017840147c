import { max, quantile } from 'simple-statistics';
import type { Milliseconds } from '@apricotrill/utils';
import type { BackendRun } from '../processes/BackendProcess.js';
import { CallKind } from './CallRecord.js';
import type { CallEnd, CallRecord } from './CallRecord.js';

/** How the calls of one kind ended, in numbers. */
export interface KindVerdict {
  asked: number;
  answered: number;
  refused: number;
  cut: number;
  lost: number;
  /** Answers to another request, or with a token missing, doubled or wrong. */
  wrong: number;
  /** Time to the whole answer. */
  median: Milliseconds;
  p99: Milliseconds;
  longest: Milliseconds;
}

/** What callers got. */
export interface CallsVerdict {
  kinds: Partial<Record<CallKind, KindVerdict>>;
  /** Each way of not being answered, with how often it came. */
  failures: Record<string, number>;
}

/** What callers got, held against what backend servers say ran. */
export interface RunsVerdict {
  /** Keys that ran more than once. */
  doubled: number;
  /** Requests that ran although their caller was told "not run". */
  ranThoughRefused: number;
  /** Keys whose callers were given answers of different runs, or of none that is known. */
  strangeAnswers: number;
  computedTokens: number;
  /** In whole answers that reached their callers. */
  usefulTokens: number;
}

const HIGH_QUANTILE = 0.99;

const MIDDLE = 0.5;

function countEnds(records: readonly CallRecord[], isIt: (end: CallEnd) => boolean): number {
  return records.filter(({ end }) => isIt(end)).length;
}

function judgeKind(records: readonly CallRecord[]): KindVerdict {
  const count = (kind: CallEnd['kind']) => countEnds(records, (end) => end.kind === kind);
  const spans = records.filter(({ end }) => end.kind === 'answered').map(({ span }) => span);
  const known = spans.length > 0 ? spans : [Number.NaN];
  return {
    asked: records.length,
    answered: count('answered'),
    refused: count('refused'),
    cut: count('cut'),
    lost: count('lost'),
    wrong: countEnds(records, (end) => end.kind === 'answered' && !end.isOwn),
    median: quantile(known, MIDDLE),
    p99: quantile(known, HIGH_QUANTILE),
    longest: max(known),
  };
}

/** Every request id is `<daemon's name for it>/<attempt>` at the backend servers. */
function getRequest(requestId: string | undefined): string | undefined {
  return requestId?.split('/')[0];
}

function countDoubled(runs: readonly BackendRun[]): number {
  const counts = new Map<string, number>();
  runs.forEach(({ idempotencyKey: key }) => {
    if (key !== undefined) {
      counts.set(key, (counts.get(key) ?? 0) + 1);
    }
  });
  return [...counts.values()].filter((count) => count > 1).length;
}

function countRanThoughRefused(
  records: readonly CallRecord[],
  runs: readonly BackendRun[],
): number {
  const ran = new Set(runs.map(({ requestId }) => getRequest(requestId)));
  return records.filter(
    ({ end, requestId }) =>
      end.kind === 'refused' &&
      end.outcome === 'not-run' &&
      requestId !== undefined &&
      ran.has(requestId),
  ).length;
}

function countStrangeAnswers(records: readonly CallRecord[], runs: readonly BackendRun[]): number {
  const runsByKey = new Map(
    runs.flatMap(({ idempotencyKey: key, requestId }) =>
      key === undefined ? [] : [[key, requestId] as const],
    ),
  );
  const strange = records.flatMap(({ key, end }) =>
    key !== undefined && end.kind === 'answered' && end.run !== runsByKey.get(key) ? [key] : [],
  );
  return new Set(strange).size;
}

function describeFailure({ kind, end }: CallRecord): string | undefined {
  switch (end.kind) {
    case 'answered':
      return end.isOwn ? undefined : `${kind}: not its own answer`;
    case 'refused':
      return `${kind}: refused ${end.status} ${end.reason}, ${end.outcome}`;
    default:
      return `${kind}: ${end.kind}, ${end.error}`;
  }
}

function countFailures(records: readonly CallRecord[]): Record<string, number> {
  const failures: Record<string, number> = {};
  records.forEach((record) => {
    const name = describeFailure(record);
    if (name !== undefined) {
      failures[name] = (failures[name] ?? 0) + 1;
    }
  });
  return failures;
}

/**
 * Counts how calls ended for their callers.
 *
 * @internal
 */
export function judgeCalls(records: readonly CallRecord[]): CallsVerdict {
  const kinds = Object.values(CallKind).map(
    (kind) => [kind, judgeKind(records.filter((record) => record.kind === kind))] as const,
  );
  return {
    kinds: Object.fromEntries(kinds.filter(([, { asked }]) => asked > 0)),
    failures: countFailures(records),
  };
}

/**
 * Holds what callers got against what ran.
 *
 * @param records - every call
 * @param runs - everything that ran since the first of them
 * @example
 * ```ts
 * const { doubled } = judgeRuns(load.records, runs);
 * ```
 * @internal
 */
export function judgeRuns(
  records: readonly CallRecord[],
  runs: readonly BackendRun[],
): RunsVerdict {
  return {
    doubled: countDoubled(runs),
    ranThoughRefused: countRanThoughRefused(records, runs),
    strangeAnswers: countStrangeAnswers(records, runs),
    computedTokens: runs.reduce((sum, { tokens = 0 }) => sum + tokens, 0),
    usefulTokens: records.reduce(
      (sum, { end }) => sum + (end.kind === 'answered' ? (end.tokens ?? 0) : 0),
      0,
    ),
  };
}
