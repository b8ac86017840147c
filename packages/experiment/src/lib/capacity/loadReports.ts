import { DAEMON_REQUESTS, twoYearSize } from './twoYearSize.js';

/** A question for a replica's load and its answer, headers included, at the stand-in engine. */
export const LOAD_QUESTION_BYTES = 420;

/** How often the daemon asks a replica from which it heard nothing (router options). */
const ASKED_PER_SECOND = 1;

/** Load reports that reach one daemon in a second. */
export interface ReportRate {
  /** Asked for: they cost messages of their own. */
  asked: number;
  /** With those that come on answers. */
  all: number;
  assumptions: string[];
}

/**
 * How many load reports one daemon gets at the two-year size, as the daemon is built today.
 *
 * @internal
 */
export function getReportRate(): ReportRate {
  const asked = twoYearSize.replicas * ASKED_PER_SECOND;
  return {
    asked,
    all: asked + DAEMON_REQUESTS,
    assumptions: [
      'each daemon asks every replica that no answer spoke for once a second, as the router does today',
      `a question and its answer take ${LOAD_QUESTION_BYTES} bytes with headers (stand-in engine)`,
      'reports on answers cost no message of their own',
    ],
  };
}
