import type { Milliseconds } from '@apricotrill/utils';
import type { EndReason } from './EndReason.js';

/**
 * The log events of the start and the end of a process.
 *
 * @public
 */
export type LifecycleEvent =
  | { event: 'compiled-code-unused'; reason: string }
  | {
      event: 'port-unavailable';
      port: string;
      error: string;
      /** The process that holds the port, as far as it is known. */
      holder: string | undefined;
      /** Time since the first attempt. */
      after: Milliseconds;
    }
  | { event: 'port-opened'; port: string; after: Milliseconds }
  | { event: 'settings-unavailable'; error: string; after: Milliseconds }
  | { event: 'settings-read'; after: Milliseconds }
  | ({
      event: 'ended';
      /** The exit code. */
      code: number;
      uptime: Milliseconds;
      /** Resident memory, in bytes. */
      rss: number;
      /** Memory in use on the heap, in bytes. */
      heap: number;
      /** Open requests. */
      open: number;
    } & EndReason);
