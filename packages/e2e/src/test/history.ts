import type { Run } from './Backend.js';
import type { Decision } from './decisions.js';

/** How a call ended for its caller. */
export type CallEnd =
  /** `isOwn` says whether the answer is the one to this very request, and whole. */
  | { kind: 'answered'; run: number | undefined; isOwn: boolean }
  | { kind: 'refused'; status: number; outcome: string; type: string }
  /** The connection broke, or there was none. */
  | { kind: 'cut' };

/** One call as its caller saw it. */
export interface RecordedCall {
  /** The Idempotency-Key, of calls that have one. */
  key?: string;
  /** As the daemon named the request; absent when nothing came back. */
  requestId?: string;
  end: CallEnd;
}

/** The generations a daemon put in force, over all its processes, in order. */
export interface RecordedVersions {
  daemon: string;
  generations: number[];
}

/** Everything that is known of a run of the system. */
export interface History {
  calls: readonly RecordedCall[];
  /** What ran, by the backend servers' own word. */
  runs: readonly Run[];
  versions: readonly RecordedVersions[];
}

function getName({ key, requestId }: RecordedCall): string {
  return key ?? requestId ?? 'unnamed call';
}

/** Answers that belong to another request or are not whole. */
function checkAnswers(calls: readonly RecordedCall[]): string[] {
  return calls
    .filter(({ end }) => end.kind === 'answered' && !end.isOwn)
    .map((call) => `${getName(call)}: the answer is not its own or not whole`);
}

/** Keys that ran more than once. */
function checkRunsOfKeys(runs: readonly Run[]): string[] {
  const counts = new Map<string, number>();
  runs.forEach(({ idempotencyKey: key }) => {
    if (key !== undefined) {
      counts.set(key, (counts.get(key) ?? 0) + 1);
    }
  });
  return [...counts]
    .filter(([, count]) => count > 1)
    .map(([key, count]) => `${key}: ran ${count} times`);
}

/** Requests that ran although their caller was told they did not. */
function checkNotRun({ calls, runs }: History): string[] {
  const ran = new Set(runs.map(({ requestId }) => requestId.split('/')[0]));
  return calls
    .filter(({ end }) => end.kind === 'refused' && end.outcome === 'not-run')
    .filter(({ requestId }) => requestId !== undefined && ran.has(requestId))
    .map((call) => `${getName(call)}: answered "not run", and it ran`);
}

/** Callers of one key that were given answers of different runs. */
function checkSameAnswers(calls: readonly RecordedCall[]): string[] {
  const first = new Map<string, number | undefined>();
  return calls.flatMap(({ key, end }) => {
    if (key === undefined || end.kind !== 'answered') {
      return [];
    }
    const known = first.get(key) ?? end.run;
    first.set(key, known);
    return known === end.run ? [] : [`${key}: answers of the runs ${known} and ${end.run}`];
  });
}

/** Daemons at which an older version came into force after a newer one. */
function checkVersions(versions: readonly RecordedVersions[]): string[] {
  return versions.flatMap(({ daemon, generations }) =>
    generations
      .map((generation, index) => ({ generation, before: generations[index - 1] ?? 0 }))
      .filter(({ generation, before }) => generation < before)
      .map(({ generation, before }) => `${daemon}: generation ${generation} after ${before}`),
  );
}

/** The generations that log lines of one process say came into force. */
export function getGenerations(decisions: readonly Decision[]): number[] {
  return decisions
    .filter(({ event }) => event === 'in-force')
    .map(({ generation }) => Number(generation));
}

/**
 * Checks a run of the system: whole answers of their own, at most one run a key and one answer for
 * all who ask with it, "not run" only for what did not run, versions that never go back.
 *
 * @returns what was violated, a line each
 */
export function checkHistory(history: History): string[] {
  return [
    ...checkAnswers(history.calls),
    ...checkSameAnswers(history.calls),
    ...checkRunsOfKeys(history.runs),
    ...checkNotRun(history),
    ...checkVersions(history.versions),
  ];
}
