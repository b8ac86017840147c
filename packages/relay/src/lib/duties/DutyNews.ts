import type { ServiceDemand, UsageShare } from '@apricotrill/duties';

/** What daemons tell those that stand by for the duties. */
export type DutyNews =
  | { kind: 'usage'; share: UsageShare }
  /** Of the daemon that sends it. */
  | { kind: 'demand'; demand: ServiceDemand[] };
