import { exhaustiveSwitchError } from '@apricotrill/utils';
import { isUnloadable } from '../DesiredPlacement/getDesiredPlacement.js';
import { getLoadableName } from '../modelName.js';
import type { DesiredPlacement } from '../DesiredPlacement/getDesiredPlacement.js';
import type { EngineOrder, EngineState } from '../EngineClient/EngineClient.js';

/**
 * Whether an engine matches its desired state, so that it can be observed less often.
 *
 * @internal
 */
export function isConverged(desired: DesiredPlacement, id: string, state: EngineState): boolean {
  const engine = desired.engines.get(id);
  if (engine === undefined) {
    return true;
  }
  const managedNames = state.loaded.filter(
    (name) => engine.modelNames.includes(name) || isUnloadable(desired, name),
  );
  const hasModels = managedNames.sort().join() === engine.modelNames.join();
  const hasRole = engine.role === undefined || engine.role === state.role;
  return hasModels && hasRole && state.loading.length === 0;
}

/**
 * Whether an engine's state shows that it has carried out an order or started to.
 *
 * @internal
 */
export function isOrderReflected(order: EngineOrder, state: EngineState): boolean {
  switch (order.kind) {
    case 'load':
      return [...state.loaded, ...state.loading].includes(getLoadableName(order));
    case 'unload':
      return !state.loaded.includes(getLoadableName(order));
    case 'set-role':
      return state.role === order.role;
    default:
      throw exhaustiveSwitchError(order);
  }
}
