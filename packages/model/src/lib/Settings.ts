import type { Milliseconds } from '@apricotrill/utils';

/**
 * Where another daemon listens for daemons.
 *
 * @public
 */
export interface Seed {
  host: string;
  port: number;
}

/**
 * What one caller may use of a daemon.
 *
 * @public
 */
export interface CallerLimits {
  /** The largest request body; a larger one is answered 413. */
  maxBodyBytes: number;
  /** A body that has not arrived by then is answered 408. */
  bodyTimeoutMs: Milliseconds;
  /** A connection whose headers have not arrived by then is closed. */
  headersTimeoutMs: Milliseconds;
}

/**
 * Where a daemon finds its certificates. The files are read again when they change.
 *
 * @public
 */
export interface TlsFiles {
  certFile: string;
  keyFile: string;
  /** The authority that signs the certificates of the other daemons. */
  caFile: string;
}

/**
 * What one router daemon learns from its file of settings.
 *
 * @public
 */
export interface Settings {
  id: string;
  region: string;
  availabilityZone: string;
  /** The IP number all its ports are bound to. */
  host: string;
  /** For callers. */
  port: number;
  /** For other daemons. */
  meshPort: number;
  /** For metrics, readiness and operators. */
  adminPort: number;
  platformUrl: string;
  /** Other daemons to ask first; the instance list adds more. */
  seeds: Seed[];
  limits: CallerLimits;
  tls?: TlsFiles;
}
