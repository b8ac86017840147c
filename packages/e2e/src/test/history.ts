import type { Run } from './Backend.js';
import type { Decision } from './decisions.js';

/** How a call ended for its caller. */
export type CallEnd =
  /** `isOwn` is true if the answer belongs to this request and is complete. */
  | { kind: 'answered'; run: number | undefined; isOwn: boolean }
  | { kind: 'refused'; status: number; outcome: string; type: string }
  /** The connection broke or could not be opened. */
  | { kind: 'cut' };

/** A call as its caller saw it. */
export interface RecordedCall {
  /** The Idempotency-Key, if the call has one. */
  key?: string;
  /** The request id that the daemon assigned, or undefined if no response arrived. */
  requestId?: string;
  end: CallEnd;
}

/** The generations that a daemon put into force, in order, over all its processes. */
export interface RecordedVersions {
  daemon: string;
  generations: number[];
}

/** All records of a test run. */
export interface History {
  calls: readonly RecordedCall[];
  /** The runs that the backend servers recorded. */
  runs: readonly Run[];
  versions: readonly RecordedVersions[];
}

function getName({ key, requestId }: RecordedCall): string {
  return key ?? requestId ?? 'unnamed call';
}

/** Finds answers that belong to another request or are incomplete. */
function checkAnswersComplete(calls: readonly RecordedCall[]): string[] {
  return calls
    .filter(({ end }) => end.kind === 'answered' && !end.isOwn)
    .map((call) => `${getName(call)}: the answer belongs to another request or is incomplete`);
}

/** Finds keys that ran more than once. */
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

/** Finds requests that ran although their caller was told that they did not. */
function checkNotRunOutcomes({ calls, runs }: History): string[] {
  const ran = new Set(runs.map(({ requestId }) => requestId.split('/')[0]));
  return calls
    .filter(({ end }) => end.kind === 'refused' && end.outcome === 'not-run')
    .filter(({ requestId }) => requestId !== undefined && ran.has(requestId))
    .map((call) => `${getName(call)}: reported as not run, but it ran`);
}

/** Finds keys whose callers received answers of different runs. */
function checkAnswersOfKeys(calls: readonly RecordedCall[]): string[] {
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

/** Finds daemons at which an older version came into force after a newer one. */
function checkVersions(versions: readonly RecordedVersions[]): string[] {
  return versions.flatMap(({ daemon, generations }) =>
    generations
      .map((generation, index) => ({ generation, before: generations[index - 1] ?? 0 }))
      .filter(({ generation, before }) => generation < before)
      .map(({ generation, before }) => `${daemon}: generation ${generation} after ${before}`),
  );
}

/** Returns the generations that one process put into force, from its log. */
export function getGenerations(decisions: readonly Decision[]): number[] {
  return decisions
    .filter(({ event }) => event === 'in-force')
    .map(({ generation }) => Number(generation));
}

/**
 * Checks the records of a test run: every answer is complete and belongs to its request, each key runs
 * at most once, all callers of a key receive the same answer, only requests that did not run are
 * reported as not run, and no daemon returns to an older version.
 *
 * @returns the violations, one line each
 */
export function checkHistory(history: History): string[] {
  return [
    ...checkAnswersComplete(history.calls),
    ...checkAnswersOfKeys(history.calls),
    ...checkRunsOfKeys(history.runs),
    ...checkNotRunOutcomes(history),
    ...checkVersions(history.versions),
  ];
}
