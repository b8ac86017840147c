import {
  createFifoBaseline,
  createLeastOutstandingBaseline,
  createStrictPriorityBaseline,
  Scheduler,
} from '@apricotrill/policy';
import type { PolicyFactory } from './Policy.js';

/** The policy being evaluated; the others are its baselines. */
export const POLICY = 'apricotrill';

/**
 * The schedulers that the experiment compares, by name.
 *
 * @public
 */
export const policies: Record<string, PolicyFactory> = {
  [POLICY]: (context) => new Scheduler(context),
  'fifo-round-robin': createFifoBaseline,
  'least-outstanding': createLeastOutstandingBaseline,
  'strict-priority': createStrictPriorityBaseline,
};
