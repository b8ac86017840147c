import type { ServiceDemand, SourceUsage } from '@apricotrill/duties';

/** What daemons tell those that stand by for the duties. */
export type DutyUpdate =
  | { kind: 'usage'; share: SourceUsage }
  /** Of the daemon that sends it. */
  | { kind: 'demand'; demand: ServiceDemand[] };
