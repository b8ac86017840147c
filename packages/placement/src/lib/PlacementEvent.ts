import type { Milliseconds } from '@apricotrill/utils';
import type { EngineOrder } from './EngineClient/EngineClient.js';
import type { OrderReason } from './PlacementPlanner/PlacementPlanner.js';

/** Why a planned order was not sent. */
export enum DropReason {
  /** The lease expired, or its fencing number changed, after the plan was made. */
  LeaseNotHeld = 'lease-not-held',
  /** Another configuration took effect after the plan was made. */
  ConfigurationChanged = 'configuration-changed',
  /** A final check did not find the copy that the unload relies on. */
  CopyNotConfirmed = 'copy-not-confirmed',
}

/** Fields of every event. */
interface EventContext {
  at: Milliseconds;
  service: string;
}

/** Fields of every event about an order, except its time. */
export interface OrderContext {
  service: string;
  replica: string;
  order: EngineOrder;
  orderId: string;
  fencingNumber: number;
  reason: OrderReason;
  /** Whether the engine rejects outdated fencing numbers, according to the register. */
  checksFencing: boolean;
}

/** The progress or outcome of an order. */
export type OrderEvent =
  | { kind: 'order-sent' }
  | { kind: 'order-accepted' }
  | { kind: 'order-dropped'; because: DropReason }
  | { kind: 'order-stale'; highest: number }
  | { kind: 'order-rate-limited'; until: Milliseconds }
  | { kind: 'order-refused'; status: number }
  /** No response arrived: the engine is observed before it gets another order. */
  | { kind: 'order-lost'; error: Error };

/**
 * Something that placement did or noticed; written to the log.
 *
 * @public
 */
export type PlacementEvent =
  | (EventContext & { kind: 'lease-gained'; fencingNumber: number })
  | (EventContext & { kind: 'lease-lost' })
  /** An unexpected error around the lease, after which placement goes on. */
  | (EventContext & { kind: 'fault'; error: unknown })
  /**
   * An engine's first response after the lease was acquired or an observation failed; says whether
   * the engine checks fencing numbers.
   */
  | (EventContext & { kind: 'engine-met'; replica: string; checksFencing: boolean })
  | (EventContext & { kind: 'engine-unreachable'; replica: string; error: Error })
  /** The service lists a model without a version, so it cannot be loaded. */
  | (EventContext & { kind: 'model-unversioned'; model: string })
  | ({ at: Milliseconds } & OrderContext & OrderEvent);

/**
 * Receives each event as it occurs.
 *
 * @public
 */
export type PlacementListener = (event: PlacementEvent) => void;
