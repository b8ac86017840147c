import type { SchedulerEffect, SchedulerMessage } from '@apricotrill/policy';
import type { Clock, Random } from '@apricotrill/utils';

/**
 * The interface of the schedulers that the experiment compares: the policy and its baselines.
 *
 * @public
 */
export interface Policy {
  handle(message: SchedulerMessage): void;
  dispose(): void;
}

/** The dependencies of a scheduler. Effects may be emitted synchronously or later. */
export interface PolicyContext {
  clock: Clock;
  random: Random;
  emit: (effect: SchedulerEffect) => void;
}

/** Creates the scheduler of one daemon. */
export type PolicyFactory = (context: PolicyContext) => Policy;
