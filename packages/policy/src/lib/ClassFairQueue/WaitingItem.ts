import type { RunFunction } from './RunFunction.js';
import type { QueuePlace } from './QueuePlace.js';

/**
 * A waiting request.
 *
 * @internal
 */
export interface WaitingItem {
  run: RunFunction;
  place: QueuePlace;
  /** The position in the order of arrival. */
  sequence: number;
}
