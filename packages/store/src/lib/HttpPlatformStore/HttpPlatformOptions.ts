import { SystemClock } from '@apricotrill/utils';
import type { Clock, Milliseconds } from '@apricotrill/utils';

/**
 * Options of the platform's HTTP clients.
 *
 * @public
 */
export interface HttpPlatformOptions {
  /** The platform's address, e.g. `http://127.0.0.1:8500`. */
  url: string;
  /** Timeout for the complete response to a request, in milliseconds. */
  timeout: Milliseconds;
  /** How long the platform is asked to hold a watch before it responds, in milliseconds. */
  watchWait: Milliseconds;
  /** Maximum number of connections for requests; watches have their own. */
  maxConnections: number;
  clock: Clock;
}

/** The defaults of all options except the address. */
export const defaultHttpPlatformOptions: Omit<HttpPlatformOptions, 'url'> = {
  timeout: 2_000,
  watchWait: 20_000,
  maxConnections: 4,
  clock: new SystemClock(),
};

/** Options given by a caller; an omitted option has its default. */
export type HttpPlatformSettings = Pick<HttpPlatformOptions, 'url'> & Partial<HttpPlatformOptions>;
