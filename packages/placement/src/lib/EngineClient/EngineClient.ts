import { StepError } from '@apricotrill/utils';
import type { EngineRole, Replica } from '@apricotrill/model';
import type { Milliseconds } from '@apricotrill/utils';

/**
 * One model, adapter and version an engine may carry.
 *
 * @public
 */
export interface LoadableModel {
  model: string;
  adapter?: string;
  version: string;
}

/**
 * What an engine is told to do. Each order names an end state, so that doing it twice does no more
 * than doing it once.
 *
 * @public
 */
export type EngineOrder =
  | ({ kind: 'load' } & LoadableModel)
  | ({ kind: 'unload' } & LoadableModel)
  | { kind: 'set-role'; role: EngineRole };

/**
 * An order as it is sent.
 *
 * @public
 */
export interface NumberedOrder {
  /** From the lease; engines that check refuse one below the highest they have seen. */
  fencingNumber: number;
  /** Unique over all daemons and time. */
  orderId: string;
  order: EngineOrder;
}

/**
 * What an engine says of itself. Names are `model[:adapter]@version`.
 *
 * @public
 */
export interface EngineState {
  loaded: string[];
  loading: string[];
  role: EngineRole;
  /** 0 while the engine has seen no order, or for good when it ignores fencing numbers. */
  highestFencingNumber: number;
}

/**
 * An engine's answer to an order.
 *
 * @public
 */
export type OrderOutcome =
  | { kind: 'accepted'; state: EngineState }
  /** The engine has seen a higher fencing number and did nothing. */
  | { kind: 'stale'; highest: number }
  /** The weight store's rate is used up; nothing was done. Absent: the engine named no time. */
  | { kind: 'rate-limited'; retryAfter: Milliseconds | undefined }
  /** Any other answer; the engine may have done part of it. */
  | { kind: 'refused'; status: number };

/**
 * How placement reaches engines.
 *
 * @public
 */
export interface EngineClient {
  /** @throws EngineUnavailableError when no usable answer came */
  observe(replica: Replica): Promise<EngineState>;
  /** @throws EngineUnavailableError when no answer came: the order may have been carried out */
  order(replica: Replica, order: NumberedOrder): Promise<OrderOutcome>;
}

/**
 * An engine gave no usable answer: it is down, stalled beyond the timeout, or the answer was lost.
 *
 * @public
 */
export class EngineUnavailableError extends StepError {}
