import type { RunFunction } from './RunFunction.js';
import type { QueuePlace } from './QueuePlace.js';

/**
 * A request that waits.
 *
 * @internal
 */
export interface WaitingItem {
  run: RunFunction;
  place: QueuePlace;
  /** Order of arrival. */
  sequence: number;
}
