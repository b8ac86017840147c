import type { Milliseconds } from '@apricotrill/utils';
import type { EngineOrder } from './EngineClient/EngineClient.js';
import type { OrderReason } from './PlacementPlanner/PlacementPlanner.js';

/** Why a planned order was not sent. */
export enum DropReason {
  /** The lease ran out, or its number changed, since the plan was made. */
  LeaseNotHeld = 'lease-not-held',
  /** Another configuration came into force since the plan was made. */
  ConfigurationChanged = 'configuration-changed',
  /** A last look didn't find the copy that the unload relies on. */
  CopyNotConfirmed = 'copy-not-confirmed',
}

/** What every decision says. */
interface DecisionContext {
  at: Milliseconds;
  service: string;
}

/** What every decision on an order says, but for the time. */
export interface OrderContext {
  service: string;
  replica: string;
  order: EngineOrder;
  orderId: string;
  fencingNumber: number;
  reason: OrderReason;
  /** Whether the engine refuses an old fencing number, as the register says. */
  checksFencing: boolean;
}

/** What became of an order. */
export type OrderEvent =
  | { kind: 'order-sent' }
  | { kind: 'order-accepted' }
  | { kind: 'order-dropped'; because: DropReason }
  | { kind: 'order-stale'; highest: number }
  | { kind: 'order-rate-limited'; until: Milliseconds }
  | { kind: 'order-refused'; status: number }
  /** No answer came: the engine is looked at before it gets another order. */
  | { kind: 'order-lost'; error: Error };

/**
 * One decision of placement, for its log line.
 *
 * @public
 */
export type PlacementEvent =
  | (DecisionContext & { kind: 'lease-gained'; fencingNumber: number })
  | (DecisionContext & { kind: 'lease-lost' })
  /** The first answer of an engine in a term; says whether the engine checks fencing numbers. */
  | (DecisionContext & { kind: 'engine-met'; replica: string; checksFencing: boolean })
  | (DecisionContext & { kind: 'engine-unreachable'; replica: string; error: Error })
  /** The service lists a model with no version, so that no order can be given for it. */
  | (DecisionContext & { kind: 'model-unversioned'; model: string })
  | ({ at: Milliseconds } & OrderContext & OrderEvent);

/**
 * Told each decision as it is made.
 *
 * @public
 */
export type PlacementListener = (decision: PlacementEvent) => void;
