import type { ServiceDemand, SourceUsage } from '@apricotrill/duties';

/** An update that a daemon sends to the candidates for the lease of the duties. */
export type DutyUpdate =
  | { kind: 'usage'; usage: SourceUsage }
  /** The demand at the daemon that sends the update. */
  | { kind: 'demand'; demand: ServiceDemand[] };
