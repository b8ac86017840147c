export { getDesiredPlacement } from './lib/DesiredPlacement/getDesiredPlacement.js';
export type {
  DesiredEngine,
  DesiredPlacement,
} from './lib/DesiredPlacement/getDesiredPlacement.js';
export { EngineUnavailableError } from './lib/EngineOrders/EngineOrders.js';
export type {
  EngineOrder,
  EngineOrders,
  EngineState,
  LoadableModel,
  NumberedOrder,
  OrderOutcome,
} from './lib/EngineOrders/EngineOrders.js';
export { HttpEngineOrders } from './lib/HttpEngineOrders/HttpEngineOrders.js';
export { DropReason } from './lib/PlacementDecision.js';
export type { PlacementDecision, PlacementListener } from './lib/PlacementDecision.js';
export { PlacementManager } from './lib/PlacementManager/PlacementManager.js';
export type { PlacementSettings } from './lib/PlacementManager/PlacementManager.js';
export { defaultPlacementOptions } from './lib/placementOptions.js';
export type { PlacementOptions } from './lib/placementOptions.js';
export { OrderReason, PlacementPlanner } from './lib/PlacementPlanner/PlacementPlanner.js';
export type { PlanInput, PlannedOrder, Witness } from './lib/PlacementPlanner/PlacementPlanner.js';
