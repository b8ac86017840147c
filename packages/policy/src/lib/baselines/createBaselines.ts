import type { Random } from '@apricotrill/utils';
import type { SchedulerSettings } from '../Scheduler/Scheduler.js';
import { Baseline } from './Baseline.js';
import type { BaselineReplica } from './BaselineStrategy.js';

/** With the same priority for all requests, engines run them in order of arrival. */
const UNIFORM_PRIORITY = 3;

/** Breaks ties at random; otherwise all daemons would start with the same replica. */
function chooseLeastOutstanding(
  available: readonly BaselineReplica[],
  random: Random,
): BaselineReplica {
  const start = random.integer(available.length);
  const rotated = [...available.slice(start), ...available.slice(0, start)];
  return rotated.reduce((leastLoaded, replica) =>
    replica.outstanding < leastLoaded.outstanding ? replica : leastLoaded,
  );
}

/**
 * Creates a baseline that serves requests in order of arrival and uses the replicas in turn.
 *
 * @example
 * ```ts
 * const baseline = createFifoBaseline({ clock, random, emit });
 * ```
 * @public
 */
export function createFifoBaseline(settings: SchedulerSettings): Baseline {
  let nextIndex = 0;
  return new Baseline(settings, {
    name: 'round-robin',
    getRank: () => 0,
    getPriority: () => UNIFORM_PRIORITY,
    choose: (available) => {
      nextIndex += 1;
      return available[nextIndex % available.length]!;
    },
  });
}

/**
 * Creates a baseline that serves requests in order of arrival and sends each to the replica with the
 * fewest outstanding requests of this daemon.
 *
 * @example
 * ```ts
 * const baseline = createLeastOutstandingBaseline({ clock, random, emit });
 * ```
 * @public
 */
export function createLeastOutstandingBaseline(settings: SchedulerSettings): Baseline {
  return new Baseline(settings, {
    name: 'least-outstanding',
    getRank: () => 0,
    getPriority: () => UNIFORM_PRIORITY,
    choose: (available) => chooseLeastOutstanding(available, settings.random),
  });
}

/**
 * Creates a baseline that always serves the most urgent tier first and sends each request to the
 * replica with the fewest outstanding requests of this daemon.
 *
 * @example
 * ```ts
 * const baseline = createStrictPriorityBaseline({ clock, random, emit });
 * ```
 * @public
 */
export function createStrictPriorityBaseline(settings: SchedulerSettings): Baseline {
  return new Baseline(settings, {
    name: 'strict-priority',
    getRank: ({ tier }) => tier,
    getPriority: ({ tier }) => tier,
    choose: (available) => chooseLeastOutstanding(available, settings.random),
  });
}
