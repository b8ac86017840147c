import { SystemClock } from '@apricotrill/utils';
import type { Clock, Milliseconds } from '@apricotrill/utils';

/**
 * How a client reaches the platform.
 *
 * @public
 */
export interface HttpPlatformOptions {
  /** The platform's address, e.g. `http://127.0.0.1:8500`. */
  url: string;
  /** A call without its whole answer by then has failed, in milliseconds. */
  timeout: Milliseconds;
  /** How long the platform is asked to hold a watch, in milliseconds. */
  watchWait: Milliseconds;
  /** Connections for calls; watches have their own. */
  connections: number;
  clock: Clock;
}

/** The defaults: two seconds for a call, a watch renewed every twenty seconds. */
export const defaultHttpPlatformOptions: Omit<HttpPlatformOptions, 'url'> = {
  timeout: 2_000,
  watchWait: 20_000,
  connections: 4,
  clock: new SystemClock(),
};

/** Options as a caller gives them: what is left out has its default. */
export type HttpPlatformSettings = Pick<HttpPlatformOptions, 'url'> & Partial<HttpPlatformOptions>;
