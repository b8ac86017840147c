import { getLineValue } from '../measure/fitLine.js';
import type { Line } from '../measure/fitLine.js';

/** A figure's growth with one size, as measured. */
export interface Slope {
  figure: string;
  unit: string;
  /** What the size counts. */
  sizeName: string;
  line: Line;
  /** The size it is worked out for. */
  atSize: number;
}

/**
 * The figure at the size it is worked out for: the line's value; beyond the largest size measured,
 * not less than what was measured there, since a line through noise may fall.
 */
export function getWorkedOut({ line, atSize }: Slope): number {
  const largest = line.points.reduce((left, right) => (right.size > left.size ? right : left));
  const value = getLineValue(line, atSize);
  return atSize < largest.size ? value : Math.max(value, largest.value);
}

/** What one daemon spends on a role at the two-year size. */
export interface DaemonCost {
  messagesPerSecond: number;
  bytesPerSecond: number;
  /** Part of one core. */
  core: number;
  memoryBytes: number;
}

/** What a role asks of the platform's store, for the whole system. */
export interface StoreCost {
  readsPerSecond: number;
  writesPerSecond: number;
  /** Watches that wait at any moment. */
  waitingWatches: number;
}

/**
 * A role at the two-year size.
 *
 * @public
 */
export interface RoleCapacity {
  role: string;
  /** The modules that carry it. */
  mechanism: string;
  /** What one daemon holds for it. */
  state: string;
  /** Whether it counts against the budget for control, or belongs to the request path. */
  isControl: boolean;
  daemon: DaemonCost;
  /** What a daemon spends that holds none of the role's duties; the same when absent. */
  withoutDuty?: DaemonCost;
  store: StoreCost;
  slopes: Slope[];
  /** What is not measured, each with its source. */
  assumptions: string[];
}

/**
 * Measures a role at several sizes and works it out for the two-year size.
 *
 * @public
 */
export interface CapacityProbe {
  role: string;
  measure(): Promise<RoleCapacity>;
}

/** A role that does not touch the store. */
export const NO_STORE_COST: StoreCost = {
  readsPerSecond: 0,
  writesPerSecond: 0,
  waitingWatches: 0,
};
