import type { Clock } from '@apricotrill/utils';
import type { EngineProfile } from '../../config/RelayConfiguration.js';
import { PrefillRate } from '../PrefillRate/PrefillRate.js';
import { SetupTime } from '../SetupTime/SetupTime.js';
import { SlowdownPersistence } from '../Slowdown/SlowdownPersistence.js';

/** Stands for a clock where no replica states a slowdown, so that no estimate depends on the time. */
const TIMELESS: Pick<Clock, 'now'> = { now: () => 0 };

/** Measurements that all engines of one service share. */
export class EngineStatistics {
  /** At a slowdown of 1. */
  readonly prefillRate = new PrefillRate();

  /** At a slowdown of 1. */
  readonly setupTime = new SetupTime();

  readonly slowdownPersistence = new SlowdownPersistence();

  /** The configured properties of the engines. */
  profile: EngineProfile | undefined;

  /** @param clock - for estimates at the current slowdown */
  constructor(readonly clock: Pick<Clock, 'now'> = TIMELESS) {}
}
