import type { Random } from '@apricotrill/utils';
import type { SchedulerSettings } from '../Scheduler/Scheduler.js';
import { Baseline } from './Baseline.js';
import type { BaselineReplica } from './BaselineRules.js';

/** One priority for all: engines then run requests in the order of their arrival. */
const EQUAL_PRIORITY = 3;

/** The least outstanding, ties broken at random, or all daemons would begin with the same one. */
function chooseLeastOutstanding(open: readonly BaselineReplica[], random: Random): BaselineReplica {
  const start = random.integer(open.length);
  const rotated = [...open.slice(start), ...open.slice(0, start)];
  return rotated.reduce((least, each) => (each.outstanding < least.outstanding ? each : least));
}

/**
 * First in, first out, the replicas in turn.
 *
 * @example
 * ```ts
 * const baseline = createFirstInFirstOut({ clock, random, emit });
 * ```
 * @public
 */
export function createFifoBaseline(parts: SchedulerSettings): Baseline {
  let turn = 0;
  return new Baseline(parts, {
    name: 'round-robin',
    getRank: () => 0,
    getPriority: () => EQUAL_PRIORITY,
    choose: (open) => {
      turn += 1;
      return open[turn % open.length]!;
    },
  });
}

/**
 * First in, first out, to the replica where this daemon has least running.
 *
 * @example
 * ```ts
 * const baseline = createLeastOutstanding({ clock, random, emit });
 * ```
 * @public
 */
export function createLeastOutstandingBaseline(parts: SchedulerSettings): Baseline {
  return new Baseline(parts, {
    name: 'least-outstanding',
    getRank: () => 0,
    getPriority: () => EQUAL_PRIORITY,
    choose: (open) => chooseLeastOutstanding(open, parts.random),
  });
}

/**
 * The most urgent tier first, always, to the replica where this daemon has least running.
 *
 * @example
 * ```ts
 * const baseline = createStrictPriority({ clock, random, emit });
 * ```
 * @public
 */
export function createStrictPriorityBaseline(parts: SchedulerSettings): Baseline {
  return new Baseline(parts, {
    name: 'strict-priority',
    getRank: ({ tier }) => tier,
    getPriority: ({ tier }) => tier,
    choose: (open) => chooseLeastOutstanding(open, parts.random),
  });
}
