import type { Milliseconds } from '@apricotrill/utils';

/**
 * What a daemon with duties decides and learns, for its log.
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
      /** From the end of the window. */
      after: Milliseconds;
      fencingNumber: number;
    }
  | {
      event: 'replicas-ordered';
      service: string;
      availabilityZone: string;
      count: number;
      isPreemptible: boolean;
      /** Replicas of that sort that are listed there. */
      running: number;
      reason: string;
      /** Replicas that are wanted in all zones together. */
      wanted: number;
      fencingNumber: number;
    }
  | { event: 'duty-failed'; call: string; result: string; fencingNumber: number };

/** Writes one event. */
export type DutyLog = (event: DutyEvent) => void;
