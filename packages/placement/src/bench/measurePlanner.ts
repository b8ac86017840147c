import { EngineRole } from '@apricotrill/model';
import { getDesiredPlacement } from '../lib/DesiredPlacement/getDesiredPlacement.js';
import { defaultPlacementOptions } from '../lib/placementOptions.js';
import { PlacementPlanner } from '../lib/PlacementPlanner/PlacementPlanner.js';
import { createFleet } from './createFleet.js';
import type { EngineState } from '../lib/EngineClient/EngineClient.js';

const MODELS = Array.from({ length: 21 }, (_, index) => `model-${index}@1`);
const MIN_DURATION = 300;

/** Average time of one run in milliseconds, measured over at least 300 ms of runs. */
function measureDuration(run: () => void): number {
  run();
  const start = performance.now();
  let runs = 0;
  while (performance.now() - start < MIN_DURATION) {
    run();
    runs += 1;
  }
  return (performance.now() - start) / runs;
}

/** The cost of planning, in milliseconds. */
interface PlannerCost {
  /** Determining the desired placement, once per configuration. */
  desiredPlacement: number;
  /** Planning a round in which all engines have converged. */
  convergedPlan: number;
  /** Planning a round in which every engine lacks its models. */
  fullPlan: number;
}

/**
 * Measures the planner on a service of 21 models.
 *
 * @internal
 */
export function measurePlanner(replicas: number): PlannerCost {
  const configuration = createFleet(replicas, MODELS);
  const getDesired = () => getDesiredPlacement(configuration, 'chat', defaultPlacementOptions);
  const desired = getDesired();
  const createStates = (getLoaded: (modelNames: string[]) => string[]) =>
    new Map<string, EngineState>(
      [...desired.engines].map(([id, { modelNames }]) => [
        id,
        {
          loaded: getLoaded(modelNames),
          loading: [],
          role: EngineRole.Mixed,
          highestFencingNumber: 0,
        },
      ]),
    );
  const noEngines = new Set<string>();
  const plan = (observed: Map<string, EngineState>) =>
    new PlacementPlanner({
      desired,
      observed,
      pending: noEngines,
      suspended: noEngines,
      maxChanging: Math.max(1, replicas * defaultPlacementOptions.maxChangingRatio),
    }).getOrders();
  const converged = createStates((modelNames) => [...modelNames]);
  const empty = createStates(() => []);
  return {
    desiredPlacement: measureDuration(getDesired),
    convergedPlan: measureDuration(() => plan(converged)),
    fullPlan: measureDuration(() => plan(empty)),
  };
}
