import type { Clock, Random } from '@apricotrill/utils';
import type { SchedulerEffect } from '../messages.js';
import type { PolicyOptions } from '../policyOptions.js';
import type { SharedLimit } from '../SharedLimit/SharedLimit.js';
import type { RequestRecord } from './RequestRecord.js';

/**
 * Constructor arguments of a `ServiceScheduler`.
 *
 * @internal
 */
export interface ServiceSchedulerSettings {
  service: string;
  clock: Clock;
  random: Random;
  options: PolicyOptions;
  limit: SharedLimit;
  /** All unfinished requests, of every service. */
  records: Map<string, RequestRecord>;
  isLeaving: (replica: string) => boolean;
  emit: (effect: SchedulerEffect) => void;
}
