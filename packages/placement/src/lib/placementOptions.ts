import { defaultLeaseOptions } from '@apricotrill/lease';
import type { LeaseOptions } from '@apricotrill/lease';
import type { Milliseconds } from '@apricotrill/utils';

/**
 * Every tunable of placement.
 *
 * @public
 */
export interface PlacementOptions {
  lease: LeaseOptions;
  /** Between two looks at an engine that has orders to carry out. Default 1,000 ms. */
  observeChanging: Milliseconds;
  /** The longest time between two looks at an engine that is as it should be. Default 60,000 ms. */
  observeConverged: Milliseconds;
  /** Looks a daemon takes at engines, on average over all its duties. Default 8 a second. */
  observationsPerSecond: number;
  /** Looks it may take at once after a time without any: a take-over, an edit. Default 256. */
  observationBurst: number;
  /** Looks under way at once, per service. Default 8. */
  observeConcurrency: number;
  /** Orders under way at once, per service. Default 4. */
  orderConcurrency: number;
  /** A look at an engine with no answer by then has failed. Default 2,000 ms. */
  observeTimeout: Milliseconds;
  /** An order with no answer by then counts as lost. Default 5,000 ms. */
  orderTimeout: Milliseconds;
  /** The share of a service's replicas that may change at once; at least one may. Default 0.25. */
  changingShare: number;
  /** A load that takes longer no longer counts against `changingShare`. Default 600,000 ms. */
  changeTimeout: Milliseconds;
  /** The fewest copies of each model where the register places none by hand. Default 2. */
  copies: number;
  /** Models a replica carries where the register places none by hand. Default 1. */
  modelsPerReplica: number;
  /** Loads a second that a region's weight store bears, over all services. Default 2. */
  loadsPerSecond: number;
  /** How long the weight store is left alone after a 429 with no Retry-After. Default 5,000 ms. */
  weightStoreRest: Milliseconds;
}

/**
 * The defaults; the README gives the figures behind them.
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
  changingShare: 0.25,
  changeTimeout: 600_000,
  copies: 2,
  modelsPerReplica: 1,
  loadsPerSecond: 2,
  weightStoreRest: 5_000,
};
