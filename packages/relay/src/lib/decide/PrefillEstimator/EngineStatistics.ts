import type { EngineProfile } from '../../config/RelayConfiguration.js';
import { PrefillRate } from '../PrefillRate/PrefillRate.js';
import { SetupTime } from '../SetupTime/SetupTime.js';

/** Measurements that all engines of one service share. */
export class EngineStatistics {
  readonly prefillRate = new PrefillRate();

  readonly setupTime = new SetupTime();

  /** The configured properties of the engines. */
  profile: EngineProfile | undefined;
}
