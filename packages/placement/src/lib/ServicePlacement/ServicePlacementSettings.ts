import type { Configuration } from '@apricotrill/model';
import type { Clock } from '@apricotrill/utils';
import type { LeaseManager } from '@apricotrill/lease';
import type { EngineClient } from '../EngineClient/EngineClient.js';
import type { PlacementListener } from '../PlacementEvent.js';
import type { PlacementOptions } from '../placementOptions.js';
import type { TokenBucket } from '../TokenBucket/TokenBucket.js';

/** What one service's duty needs around it. */
export interface ServiceSettings {
  service: string;
  clock: Clock;
  lease: LeaseManager;
  engines: EngineClient;
  getConfiguration: () => Configuration | undefined;
  options: PlacementOptions;
  /** Looks at engines, shared by all duties of the daemon. */
  looks: TokenBucket;
  /** Loads, this service's share of the weight store's rate. */
  loads: TokenBucket;
  onDecision: PlacementListener;
}
