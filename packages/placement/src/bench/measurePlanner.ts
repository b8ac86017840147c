import { EngineRole } from '@apricotrill/model';
import { getDesiredPlacement } from '../lib/DesiredPlacement/getDesiredPlacement.js';
import { defaultPlacementOptions } from '../lib/placementOptions.js';
import { PlacementPlanner } from '../lib/PlacementPlanner/PlacementPlanner.js';
import { createFleet } from './createFleet.js';
import type { EngineState } from '../lib/EngineClient/EngineClient.js';

const MODELS = Array.from({ length: 21 }, (_, index) => `model-${index}@1`);
const MINIMUM_SPAN = 300;

/** Processor time of one run, in milliseconds, over at least 300 ms of runs. */
function getSpan(run: () => void): number {
  run();
  const start = performance.now();
  let runs = 0;
  while (performance.now() - start < MINIMUM_SPAN) {
    run();
    runs += 1;
  }
  return (performance.now() - start) / runs;
}

/** What planning costs, in milliseconds of processor time. */
interface PlannerCost {
  /** Once per configuration in force. */
  desired: number;
  /** A round in which all engines are as they should be. */
  quiet: number;
  /** A round in which every engine lacks its models. */
  busy: number;
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
  const createStates = (getLoaded: (names: string[]) => string[]) =>
    new Map<string, EngineState>(
      [...desired.engines].map(([id, { names }]) => [
        id,
        { loaded: getLoaded(names), loading: [], role: EngineRole.Mixed, highestFencingNumber: 0 },
      ]),
    );
  const none = new Set<string>();
  const plan = (observed: Map<string, EngineState>) =>
    new PlacementPlanner({
      desired,
      observed,
      busy: none,
      resting: none,
      changingAtMost: Math.max(1, replicas * defaultPlacementOptions.changingShare),
    }).getOrders();
  const converged = createStates((names) => [...names]);
  const empty = createStates(() => []);
  return {
    desired: getSpan(getDesired),
    quiet: getSpan(() => plan(converged)),
    busy: getSpan(() => plan(empty)),
  };
}
