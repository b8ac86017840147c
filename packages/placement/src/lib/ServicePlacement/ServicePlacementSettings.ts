import type { Configuration } from '@apricotrill/model';
import type { Clock } from '@apricotrill/utils';
import type { LeaseManager } from '@apricotrill/lease';
import type { EngineClient } from '../EngineClient/EngineClient.js';
import type { PlacementListener } from '../PlacementEvent.js';
import type { PlacementOptions } from '../placementOptions.js';
import type { TokenBucket } from '../TokenBucket/TokenBucket.js';

/** Constructor arguments of `ServicePlacement`. */
export interface ServicePlacementSettings {
  service: string;
  clock: Clock;
  lease: LeaseManager;
  engines: EngineClient;
  getConfiguration: () => Configuration | undefined;
  options: PlacementOptions;
  /** Limits engine observations; shared by all services of the daemon. */
  observationBudget: TokenBucket;
  /** Limits loads to this service's share of the weight store's rate. */
  loadBudget: TokenBucket;
  onEvent: PlacementListener;
}
