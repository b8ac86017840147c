import type { Milliseconds } from '@apricotrill/utils';

/**
 * How a lease is timed. Rates follow from these: a held lease costs one write each `renewal`, a
 * stand-by one read each `renewal`.
 *
 * @public
 */
export interface LeaseOptions {
  /** How long others wait, seeing no renewal, before they take the lease over. Default 15,000 ms. */
  span: Milliseconds;
  /**
   * How long before the end of the span the holder stops believing, to cover clocks that run at
   * unequal speed and orders that are on their way. Default 3,000 ms.
   */
  margin: Milliseconds;
  /** Between two renewals of the holder, and between two looks of a stand-by. Default 5,000 ms. */
  renewal: Milliseconds;
  /** Before a call that failed or met a conflict is tried again. Default 1,000 ms. */
  retry: Milliseconds;
  /** A call at the store with no answer by then counts as lost. Default 3,000 ms. */
  callTimeout: Milliseconds;
  /** How many daemons, in rendezvous order, stand by for one lease. Default 3. */
  candidates: number;
  /** How much longer each rank waits, so that stand-bys don't race. Default 2,000 ms. */
  candidateDelay: Milliseconds;
  /**
   * How long a holder that is no longer the preferred daemon keeps the lease before it releases
   * it, so that duties spread again after a rolling restart. Default 300,000 ms.
   */
  yieldAfter: Milliseconds;
}

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
  lease: {
    span: 15_000,
    margin: 3_000,
    renewal: 5_000,
    retry: 1_000,
    callTimeout: 3_000,
    candidates: 3,
    candidateDelay: 2_000,
    yieldAfter: 300_000,
  },
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
