import type { RunSummary } from './summariseRun.js';

/** Which run of the experiment. */
export interface RunKey {
  deployment: string;
  scenario: string;
  policy: string;
  seed: number;
}

/** A run and what it gave. */
export interface RunResult {
  key: RunKey;
  summary: RunSummary;
}
