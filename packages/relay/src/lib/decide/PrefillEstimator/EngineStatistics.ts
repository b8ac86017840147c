import type { EngineProfile } from '../../config/RelayConfiguration.js';
import { ReadRate } from '../PrefillRate/PrefillRate.js';
import { SetupTime } from '../SetupTime/SetupTime.js';

/** What is learned of the engines of one service, all together. */
export class EngineLessons {
  readonly rate = new ReadRate();

  readonly setup = new SetupTime();

  /** What is known of them beforehand. */
  profile: EngineProfile | undefined;
}
