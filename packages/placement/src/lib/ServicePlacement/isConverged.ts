import { exhaustiveSwitchError } from '@apricotrill/utils';
import { isUnloadable } from '../DesiredPlacement/getDesiredPlacement.js';
import { getLoadableName } from '../modelName.js';
import type { DesiredPlacement } from '../DesiredPlacement/getDesiredPlacement.js';
import type { EngineOrder, EngineState } from '../EngineClient/EngineClient.js';

/**
 * Whether an engine is as it should be, so that it need not be looked at soon.
 *
 * @internal
 */
export function isConverged(desired: DesiredPlacement, id: string, state: EngineState): boolean {
  const wanted = desired.engines.get(id);
  if (wanted === undefined) {
    return true;
  }
  const managed = state.loaded.filter(
    (name) => wanted.names.includes(name) || isUnloadable(desired, name),
  );
  const isLoaded = managed.sort().join() === wanted.names.join();
  const hasRole = wanted.role === undefined || wanted.role === state.role;
  return isLoaded && hasRole && state.loading.length === 0;
}

/**
 * Whether a state shows that an order was taken up.
 *
 * @internal
 */
export function isReflected(order: EngineOrder, state: EngineState): boolean {
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
