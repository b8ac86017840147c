import type { Milliseconds } from '@apricotrill/utils';
import type { Deployment } from '../deployments/Deployment.js';
import type { LoadCurve } from '../workload/createCalls.js';

/** What goes wrong at a moment. */
export type Fault =
  | { kind: 'slow'; replica: string; factor: number }
  | { kind: 'report-lag'; lag: Milliseconds }
  | { kind: 'crash'; replica: string }
  | { kind: 'restart'; replica: string }
  /** Every connection of one daemon to a replica stops delivering; new ones work. */
  | { kind: 'silence'; daemon: number; replica: string };

/** A fault and when it happens. */
export interface TimedFault {
  at: Milliseconds;
  fault: Fault;
}

/**
 * The load over time and what goes wrong.
 *
 * @public
 */
export interface Scenario {
  name: string;
  /** How long callers call. */
  span: Milliseconds;
  curve: LoadCurve;
  faults: TimedFault[];
}

/** Creates a scenario for a deployment. */
export type ScenarioFactory = (deployment: Deployment) => Scenario;
