import type { Clock, Milliseconds } from '@apricotrill/utils';
import { defaultEngineBatchOptions } from './EngineBatchOptions.js';
import type { EngineBatchOptions } from './EngineBatchOptions.js';
import type { WeightStore } from './WeightStore.js';

/**
 * Options of an engine stand-in.
 *
 * @public
 */
export interface EngineStandinOptions extends EngineBatchOptions {
  host: string;
  /** 0 selects any free port. */
  port: number;
  /** The number of requests that may wait for a slot; further requests are refused. */
  maxWaiting: number;
  /** Whether a request for a model that is not loaded is refused. */
  requiresLoaded: boolean;
  /** The models loaded initially, as `model[:adapter]@version`. */
  loaded: string[];
  /** Whether an order with an old fencing number is refused. */
  checksFencing: boolean;
  /** How long loading takes, in milliseconds. */
  loadTime: Milliseconds;
  /** The number of loads that may begin within {@link weightSpan}. */
  weightLoads: number;
  /** The period to which {@link weightLoads} applies, in milliseconds. */
  weightSpan: Milliseconds;
  /** By how much cache events are delayed, in milliseconds. */
  cacheEventLag: Milliseconds;
  /** The share of cache events that are never published, 0 to 1. */
  cacheEventLoss: number;
  /** The random seed for the choice of lost cache events. */
  seed: number;
}

/**
 * Constructor arguments of an engine stand-in.
 *
 * @public
 */
export interface EngineStandinSettings extends Partial<EngineStandinOptions> {
  /** The system clock by default. */
  clock?: Clock;
  /** A new one by default; engines in one process may share one. */
  weights?: WeightStore;
  /** Called on a crash fault; breaks every connection and frees the port by default. */
  onCrash?: () => void;
}

/** The default options: short load times, an engine of typical size, no fencing check. */
export const defaultEngineStandinOptions: EngineStandinOptions = {
  ...defaultEngineBatchOptions,
  host: '127.0.0.1',
  port: 0,
  maxWaiting: 1_000,
  requiresLoaded: false,
  loaded: [],
  checksFencing: false,
  loadTime: 500,
  weightLoads: 4,
  weightSpan: 10_000,
  cacheEventLag: 500,
  cacheEventLoss: 0.05,
  seed: 1,
};
