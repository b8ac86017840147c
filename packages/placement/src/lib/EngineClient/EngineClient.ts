import { StepError } from '@apricotrill/utils';
import type { EngineRole, Replica } from '@apricotrill/model';
import type { Milliseconds } from '@apricotrill/utils';

/**
 * A model, optionally with an adapter, in a version that an engine can load.
 *
 * @public
 */
export interface LoadableModel {
  model: string;
  adapter?: string;
  version: string;
}

/**
 * An instruction to an engine. Each order names the resulting state, so that orders are idempotent.
 *
 * @public
 */
export type EngineOrder =
  | ({ kind: 'load' } & LoadableModel)
  | ({ kind: 'unload' } & LoadableModel)
  | { kind: 'set-role'; role: EngineRole };

/**
 * An order as it is sent to an engine, with the fencing number of its sender.
 *
 * @public
 */
export interface FencedOrder {
  /** From the lease; engines that check it reject numbers below the highest they have seen. */
  fencingNumber: number;
  /** Unique across all daemons and over time. */
  orderId: string;
  order: EngineOrder;
}

/**
 * The state an engine reports. Names are `model[:adapter]@version`.
 *
 * @public
 */
export interface EngineState {
  loaded: string[];
  loading: string[];
  role: EngineRole;
  /** 0 before the engine has seen an order, and always 0 when it ignores fencing numbers. */
  highestFencingNumber: number;
}

/**
 * An engine's response to an order.
 *
 * @public
 */
export type OrderOutcome =
  | { kind: 'accepted'; state: EngineState }
  /** The engine has seen a higher fencing number and did not apply the order. */
  | { kind: 'stale'; highest: number }
  /** The weight store's rate is exhausted and the order was not applied. */
  | { kind: 'rate-limited'; retryAfter: Milliseconds | undefined }
  /** Any other response; the order may have been partly applied. */
  | { kind: 'refused'; status: number };

/**
 * Observes engines and sends them orders.
 *
 * @public
 */
export interface EngineClient {
  /** @throws EngineUnavailableError when no valid response arrived */
  observe(replica: Replica): Promise<EngineState>;
  /**
   * @throws EngineUnavailableError when no valid response arrived; the order may have taken effect
   */
  order(replica: Replica, order: FencedOrder): Promise<OrderOutcome>;
}

/**
 * No valid response arrived from an engine: it is down, it timed out, or the response was lost.
 *
 * @public
 */
export class EngineUnavailableError extends StepError {}
