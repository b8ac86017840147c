import { defaultLeaseOptions } from '@apricotrill/lease';
import type { LeaseOptions } from '@apricotrill/lease';
import type { Milliseconds } from '@apricotrill/utils';

/**
 * The limits, intervals and timeouts of placement.
 *
 * @public
 */
export interface PlacementOptions {
  lease: LeaseOptions;
  /** Interval between observations of an engine that has not converged. Default 1,000 ms. */
  observeChanging: Milliseconds;
  /** Maximum interval between observations of any engine. Default 60,000 ms. */
  observeConverged: Milliseconds;
  /** Average rate of engine observations by a daemon, over all services. Default 8 per second. */
  observationsPerSecond: number;
  /** Maximum burst of observations, as after a lease takeover or an edit. Default 256. */
  observationBurst: number;
  /** Maximum concurrent observations per service. Default 8. */
  observeConcurrency: number;
  /** Maximum concurrent orders per service. Default 4. */
  orderConcurrency: number;
  /** Timeout of an observation. Default 2,000 ms. */
  observeTimeout: Milliseconds;
  /** Timeout of an order, after which its outcome is unknown. Default 5,000 ms. */
  orderTimeout: Milliseconds;
  /** Maximum ratio of a service's replicas changing at once; at least one may. Default 0.25. */
  maxChangingRatio: number;
  /** A change that takes longer no longer counts towards `maxChangingRatio`. Default 600,000 ms. */
  changeTimeout: Milliseconds;
  /** Minimum copies of each model, if enough replicas have no own `placement` list. Default 2. */
  copies: number;
  /** Target number of models on a replica without its own `placement` list. Default 1. */
  modelsPerReplica: number;
  /** Maximum loads per second from a region's weight store, over all services. Default 2. */
  loadsPerSecond: number;
  /** Pause before the next load after a 429 response without Retry-After. Default 5,000 ms. */
  weightStoreCooldown: Milliseconds;
}

/**
 * The default options; the README gives the measurements behind them.
 *
 * @public
 */
export const defaultPlacementOptions: PlacementOptions = {
  lease: defaultLeaseOptions,
  observeChanging: 1_000,
  observeConverged: 60_000,
  observationsPerSecond: 8,
  observationBurst: 256,
  observeConcurrency: 8,
  orderConcurrency: 4,
  observeTimeout: 2_000,
  orderTimeout: 5_000,
  maxChangingRatio: 0.25,
  changeTimeout: 600_000,
  copies: 2,
  modelsPerReplica: 1,
  loadsPerSecond: 2,
  weightStoreCooldown: 5_000,
};
