import type { Milliseconds } from '@apricotrill/utils';

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
  | { event: 'port-opened'; port: string; after: Milliseconds };
