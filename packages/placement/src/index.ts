export { getDesiredPlacement } from './lib/DesiredPlacement/getDesiredPlacement.js';
export type {
  DesiredEngine,
  DesiredPlacement,
} from './lib/DesiredPlacement/getDesiredPlacement.js';
export { EngineUnavailableError } from './lib/EngineClient/EngineClient.js';
export type {
  EngineOrder,
  EngineClient,
  EngineState,
  LoadableModel,
  FencedOrder,
  OrderOutcome,
} from './lib/EngineClient/EngineClient.js';
export { HttpEngineClient } from './lib/HttpEngineClient/HttpEngineClient.js';
export { DropReason } from './lib/PlacementEvent.js';
export type { PlacementEvent, PlacementListener } from './lib/PlacementEvent.js';
export { PlacementManager } from './lib/PlacementManager/PlacementManager.js';
export type { PlacementSettings } from './lib/PlacementManager/PlacementManager.js';
export { defaultPlacementOptions } from './lib/placementOptions.js';
export type { PlacementOptions } from './lib/placementOptions.js';
export { OrderReason, PlacementPlanner } from './lib/PlacementPlanner/PlacementPlanner.js';
export type {
  PlanInput,
  PlannedOrder,
  RemainingCopy,
} from './lib/PlacementPlanner/PlacementPlanner.js';
