import type { Milliseconds } from '@apricotrill/utils';

/**
 * Address at which another daemon listens for its peers.
 *
 * @public
 */
export interface Seed {
  host: string;
  port: number;
}

/**
 * Limits on what one caller may use of a daemon.
 *
 * @public
 */
export interface CallerLimits {
  /** Maximum size of a request body; a larger one is answered with status 413. */
  maxBodyBytes: number;
  /** A request whose body has not arrived by then is answered with status 408. */
  bodyTimeoutMs: Milliseconds;
  /** A connection whose headers have not arrived by then is closed. */
  headersTimeoutMs: Milliseconds;
}

/**
 * The certificate files of a daemon. They are read again when they change.
 *
 * @public
 */
export interface TlsFiles {
  certFile: string;
  keyFile: string;
  /** Certificate of the authority that signs the certificates of the other daemons. */
  caFile: string;
}

/**
 * The settings of one router daemon.
 *
 * @public
 */
export interface Settings {
  id: string;
  region: string;
  availabilityZone: string;
  /** The IP address that all ports are bound to. */
  host: string;
  /** Listens for callers. */
  port: number;
  /** Listens for other daemons. */
  meshPort: number;
  /** Listens for requests for metrics and readiness, and for operators. */
  adminPort: number;
  platformUrl: string;
  /** Daemons to contact first; the instance list adds more. */
  seeds: Seed[];
  limits: CallerLimits;
  tls?: TlsFiles;
}
