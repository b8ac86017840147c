import { defaultRouterOptions } from '@apricotrill/router';
import { DAEMON_REQUESTS, twoYearSize } from './twoYearSize.js';

const MILLISECONDS_PER_SECOND = 1000;

/** Load reports that reach one daemon in a second. */
export interface ReportRate {
  /** Asked for: they cost messages of their own. */
  asked: number;
  /** With those that come on answers. */
  all: number;
}

/**
 * How many load reports one daemon gets at the two-year size, as the daemon is built today: it asks
 * those replicas that no answer spoke for, so many at most in each interval.
 *
 * @internal
 */
export function getReportRate(): ReportRate {
  const { maxLoadPolls, loadPollInterval } = defaultRouterOptions;
  const asked =
    (Math.min(maxLoadPolls, twoYearSize.replicas) * MILLISECONDS_PER_SECOND) / loadPollInterval;
  return { asked, all: asked + DAEMON_REQUESTS };
}
