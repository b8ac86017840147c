import type { Milliseconds } from '@apricotrill/utils';

/**
 * Log events of the fleet duties.
 *
 * @public
 */
export type DutyEvent =
  | { event: 'lease-gained'; lease: string; fencingNumber: number }
  | { event: 'lease-lost'; lease: string; fencingNumber: number }
  | { event: 'usage-settled'; window: number; requests: number; workspaces: number }
  | { event: 'usage-missed'; window: number; reason: string }
  | {
      event: 'usage-reported';
      window: number;
      /** Time since the end of the window. */
      after: Milliseconds;
      fencingNumber: number;
    }
  | {
      event: 'replicas-ordered';
      service: string;
      availabilityZone: string;
      count: number;
      isPreemptible: boolean;
      /** Replicas of the ordered type that are listed in the availability zone. */
      running: number;
      reason: string;
      /** Replicas wanted in all availability zones together. */
      wanted: number;
      fencingNumber: number;
    }
  | { event: 'duty-failed'; call: string; result: string; fencingNumber: number };

/** Writes an event to the log. */
export type DutyLog = (event: DutyEvent) => void;
