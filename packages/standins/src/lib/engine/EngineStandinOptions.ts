import type { Clock, Milliseconds } from '@apricotrill/utils';
import { defaultEngineBatchOptions } from './EngineBatchOptions.js';
import type { EngineBatchOptions } from './EngineBatchOptions.js';
import type { WeightStore } from './WeightStore.js';

/**
 * How an engine stand-in behaves.
 *
 * @public
 */
export interface EngineStandinOptions extends EngineBatchOptions {
  host: string;
  /** 0 takes any free port. */
  port: number;
  /** Requests that may wait for a slot; more are refused. */
  maxWaiting: number;
  /** Whether a request for a model that is not loaded is refused. */
  requiresLoaded: boolean;
  /** What is loaded from the start, as `model[:adapter]@version`. */
  loaded: string[];
  /** Whether an order with an old fencing number is refused. */
  checksFencing: boolean;
  /** How long loading takes, in milliseconds. */
  loadTime: Milliseconds;
  /** Loads that may begin within {@link weightSpan}. */
  weightLoads: number;
  /** In milliseconds. */
  weightSpan: Milliseconds;
  /** How late cache events are published, in milliseconds. */
  cacheEventLag: Milliseconds;
  /** Share of cache events that are never published, 0 to 1. */
  cacheEventLoss: number;
  /** Seeds the choice of lost cache events. */
  seed: number;
}

/**
 * What an engine stand-in runs on, beside its options.
 *
 * @public
 */
export interface EngineStandinSettings extends Partial<EngineStandinOptions> {
  /** The machine's clock when absent. */
  clock?: Clock;
  /** One of its own when absent; engines in one process may share one. */
  weights?: WeightStore;
  /** What a crash does; breaks every connection and frees the port when absent. */
  onCrash?: () => void;
}

/** The defaults: a quick start, an engine of today's size, no fencing check. */
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
