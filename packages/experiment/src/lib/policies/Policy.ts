import type { SchedulerEffect, SchedulerMessage } from '@apricotrill/policy';
import type { Clock, Random } from '@apricotrill/utils';

/**
 * A scheduler as the experiment sees it: the policy itself and each baseline.
 *
 * @public
 */
export interface Policy {
  handle(message: SchedulerMessage): void;
  dispose(): void;
}

/** What a scheduler is given; effects may be emitted at once or later. */
export interface PolicyContext {
  clock: Clock;
  random: Random;
  emit: (effect: SchedulerEffect) => void;
}

/** Creates the scheduler of one daemon. */
export type PolicyFactory = (context: PolicyContext) => Policy;
